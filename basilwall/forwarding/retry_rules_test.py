"""Tests of the retry rules, above all of what may run again."""

import itertools

import pytest

from basilwall.forwarding.retry_rules import (
    Blame,
    ResultKind,
    classify,
    rule_for,
)
from basilwall.records.forwarding import LossReason, Lost, Reply, Unsent
from basilwall.records.routes import RetrySafety


def reply(status, has_run=True, signature=b'd'):
    return Reply('i', status, b'', (), b'', signature, has_run, False)


SHED = reply(503, has_run=False)
LOST = Lost('i', LossReason.CUT)
UNSENT = Unsent('i', LossReason.NOT_CONNECTED)


@pytest.mark.parametrize(
    ('outcome', 'kind'),
    [
        (reply(200), ResultKind.SUCCESS),
        (reply(200, signature=b''), ResultKind.FAILED),
        (reply(302), ResultKind.FAILED),
        (reply(404), ResultKind.REJECTED),
        (reply(500), ResultKind.FAILED),
        (reply(503), ResultKind.FAILED),
        (SHED, ResultKind.REFUSED),
        (LOST, ResultKind.LOST),
        (UNSENT, ResultKind.UNSENT),
    ],
)
def test_kinds(outcome, kind):
    assert classify(outcome) is kind


@pytest.mark.parametrize(
    'outcome',
    [reply(status) for status in (200, 302, 404, 500, 503)] + [LOST],
)
def test_at_most_once_requests_that_may_have_run_are_not_retried(outcome):
    rule = rule_for(RetrySafety.AT_MOST_ONCE, outcome)
    assert rule.may_have_run
    assert not rule.may_retry


@pytest.mark.parametrize('outcome', [SHED, UNSENT])
def test_requests_that_did_not_run_may_be_retried(outcome):
    for repeat in RetrySafety:
        rule = rule_for(repeat, outcome)
        assert rule.may_retry
        assert not rule.may_have_run


def test_only_unsent_attempts_are_exempt_from_the_budget():
    outcomes = [reply(200), reply(500), SHED, LOST, UNSENT]
    for repeat, outcome in itertools.product(RetrySafety, outcomes):
        assert rule_for(repeat, outcome).is_budget_exempt == (outcome is UNSENT)


def test_a_searcher_is_blamed_for_a_lost_reply_and_not_for_a_bad_request():
    assert rule_for(RetrySafety.IDEMPOTENT, LOST).blame is Blame.FAULTY
    assert rule_for(RetrySafety.IDEMPOTENT, reply(404)).blame is Blame.NONE
