"""An entry VM whose searchers are all down: refused at once, then served."""

import time

import pytest

from basilwall.standin.platform_searcher import PlatformSearcherStandIn
from tests.entry_stage import (
    ask,
    request,
    split,
    staged,
    status_of,
    wait_until,
)

#: A request that is refused at once takes less; one that is tried takes more.
AT_ONCE_SECONDS = 0.1
REQUESTS = 5


@pytest.fixture(name='stage')
def _stage(tmp_path):
    with staged(tmp_path) as stage:
        yield stage


def shards_of(stage):
    return [
        searcher
        for searcher_id, searcher in stage.searcher_by_id.items()
        if searcher_id.startswith('shard')
    ]


def test_a_service_known_to_be_down_is_refused_at_once_and_served_when_back(
    stage,
):
    assert status_of(ask(stage.caller, request('/all/q'))) == 200
    for searcher in shards_of(stage):
        searcher.end()
    wait_until(lambda: status_of(ask(stage.caller, request('/all/p'))) == 503)
    ends = [
        end for _ in range(REQUESTS) for end in stage.ends(request('/all/p'))
    ]
    assert 0 in [end.attempts for end in ends]
    for _ in range(REQUESTS):
        began = time.monotonic()
        answer = ask(stage.caller, request('/all/p'))
        assert time.monotonic() - began < AT_ONCE_SECONDS
        assert status_of(answer) == 503
        assert 0 < float(split(answer)[0][b'retry-after']) < 3
    for searcher in shards_of(stage):
        back = PlatformSearcherStandIn(
            searcher.address, searcher.searcher_id, [bytes(16)]
        )
        back.start()
    wait_until(
        lambda: status_of(ask(stage.caller, request('/all/p'))) == 200,
        patience=3,
    )
