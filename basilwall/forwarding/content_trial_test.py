"""An unknown content reaches two searchers until one of them has answered."""

import pytest

from basilwall.forwarding.content_trial import (
    MAX_TRIAL_SECONDS,
    UNKNOWN_AT_ONCE,
    ContentTrial,
)
from basilwall.forwarding.extra_attempt_canary import ExtraAttemptCanary
from basilwall.forwarding.subrequest import SubRequest
from basilwall.parts.clock import ManualClock
from basilwall.records.forwarding import Call
from basilwall.records.searcher import Searcher
from basilwall.routing.searcher_stats import SearcherStats

SHARDS = 10
ANSWERS, LOST, FAILS, SILENT = 'answers', 'lost', 'fails', 'silent'


class Context:
    """The collaborators that a trial uses."""

    def __init__(self, clock):
        self.clock = clock
        self.transport = self
        self.crash_detector = self
        self.prepared = []
        self.refused_seconds = 0

    def refusal_of(self, _):
        return self.refused_seconds or None

    def prepare_connection(self, searcher):
        self.prepared.append(searcher.service)

    def is_given_up(self):
        return False


class Trial:
    """A trial whose attempts end as told, in the order of sending."""

    def __init__(self, *outcomes):
        self.clock = ManualClock()
        self.outcomes = list(outcomes)
        self.sent, self.retried, self.in_flight = [], [], []
        self.context = Context(self.clock)
        self.stats = [
            SearcherStats(
                Searcher(
                    f'i-{one}', f's{one}', f'10.0.0.{one}:1', 'z', 2, 0, 0, 0
                ),
                self.clock,
                0,
            )
            for one in range(SHARDS)
        ]
        self.canary = ExtraAttemptCanary(
            self._retry,
            self.in_flight,
            lambda _: 0,
            lambda *_: None,
            self.clock,
            is_scattered=True,
        )

    def run(self):
        now = self.clock.monotonic()
        call = Call(b'GET', b'/a/', 'h', b'1', b'', b'', now, now + 2)
        trial = ContentTrial(
            call, self.context, self.canary, self._send, self._wait
        )
        attempts = [
            (SubRequest(stats.searcher.service, 0), stats)
            for stats in self.stats
        ]
        self.subrequests = [subrequest for subrequest, _ in attempts]
        return trial.run(attempts, now + 2)

    def _send(self, subrequest, _):
        self.sent.append(subrequest)
        self.in_flight.append(subrequest)

    def _retry(self, subrequest):
        self.retried.append(subrequest)
        return True

    def _wait(self, until):
        outcome = self.outcomes.pop(0)
        if outcome is SILENT:
            self.clock.advance(until - self.clock.monotonic())
            self.canary.settle()
            return
        subrequest = self.in_flight.pop(0)
        if outcome is LOST:
            self.canary.note_loss(subrequest)
        elif outcome is FAILS:
            subrequest.has_ended = True
            self.canary.note_failure(subrequest)
        else:
            subrequest.success = True
            subrequest.has_ended = True
            self.canary.note_answer()
        self.canary.settle()


def test_all_others_get_the_content_once_one_has_answered():
    trial = Trial(ANSWERS)
    untried = trial.run()
    assert len(untried) == SHARDS - UNKNOWN_AT_ONCE
    assert len(trial.sent) == UNKNOWN_AT_ONCE
    services = {subrequest.service for subrequest, _ in untried}
    assert services < set(trial.context.prepared)


def test_a_content_that_ends_both_reaches_no_other():
    trial = Trial(LOST, LOST)
    assert not trial.run()
    assert len(trial.sent) == UNKNOWN_AT_ONCE
    assert not trial.retried
    assert all(subrequest.has_ended for subrequest in trial.subrequests)


def test_a_lost_one_is_retried_once_the_other_has_answered():
    trial = Trial(LOST, ANSWERS)
    assert len(trial.run()) == SHARDS - UNKNOWN_AT_ONCE
    assert trial.retried == trial.sent[:1]


def test_searchers_that_pause_hold_the_others_up_for_a_moment_only():
    trial = Trial(SILENT)
    began_at = trial.clock.monotonic()
    assert len(trial.run()) == SHARDS - UNKNOWN_AT_ONCE
    took = trial.clock.monotonic() - began_at
    assert took == pytest.approx(MAX_TRIAL_SECONDS)


@pytest.mark.parametrize(('outcome', 'untried'), [(SILENT, 0), (ANSWERS, 8)])
def test_a_content_that_other_vms_lost_searchers_to_goes_on_if_answered(
    outcome, untried
):
    trial = Trial(outcome)
    trial.context.refused_seconds = 1
    assert len(trial.run()) == untried


def test_a_failure_that_is_no_loss_makes_another_one_begin():
    trial = Trial(FAILS, ANSWERS)
    assert len(trial.run()) == SHARDS - UNKNOWN_AT_ONCE - 1


def test_vms_begin_at_the_same_shards_whatever_they_have_in_flight():
    first, second = Trial(SILENT), Trial(SILENT)
    first.run()
    for stats in second.stats[: SHARDS // 2]:
        stats.record_sent()
    second.run()
    assert [one.service for one in first.sent] == [
        one.service for one in second.sent
    ]


def test_a_content_begins_at_no_slow_searcher():
    trial = Trial(SILENT)
    slow = trial.stats[2:]
    for stats in slow:
        stats.round_trip = 1
    trial.run()
    services = {one.service for one in trial.sent}
    assert not services & {stats.searcher.service for stats in slow}
