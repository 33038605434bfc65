"""A searcher that stops in the middle of its answer's head gives no answer."""

import pytest

from basilwall.standin.platform_searcher import Behaviour
from tests.entry_stage import (
    SHARDS,
    ZONES,
    ask,
    request,
    split,
    staged,
    status_of,
)


@pytest.fixture(name='stage')
def _stage(tmp_path):
    with staged(tmp_path) as stage:
        yield stage


def cut_heads(stage, service):
    for zone in ZONES:
        searcher = stage.searcher_by_id[f'{service}.{zone}']
        searcher.behaviour = Behaviour.CUT_HEAD


def test_an_answer_whose_head_is_cut_is_no_success(stage):
    cut_heads(stage, 'single')
    raw = request('/once/a', method='POST', body=b'x')
    assert status_of(ask(stage.caller, raw)) == 502
    assert status_of(ask(stage.caller, request('/one/a'))) == 502


def test_a_part_whose_head_is_cut_is_left_out(stage):
    cut_heads(stage, 'shard-0')
    answer = ask(stage.caller, request('/all/a'))
    headers, body = split(answer)
    assert status_of(answer) == 200
    assert headers[b'missing-parts'] == b'1'
    assert len(headers[b'part-stamps'].split(b',')) == len(SHARDS) - 1
    assert len(body) == int(headers[b'content-length'])
