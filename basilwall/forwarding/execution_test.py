"""Tests of the attempts of one request."""

import pytest

from basilwall.forwarding.completion import SingleCompletion
from basilwall.forwarding.context import ForwardingContext
from basilwall.forwarding.execution import RequestExecution
from basilwall.forwarding.reporting import Trail
from basilwall.forwarding.retry_policy import RetryPolicy
from basilwall.forwarding.subrequest import SubRequest
from basilwall.forwarding.transport import Attempt, AttemptWaiter, Transport
from basilwall.parts.clock import ManualClock
from basilwall.records.forwarding import Call, LossReason, Lost
from basilwall.records.routes import RetrySafety, Route
from basilwall.records.searcher import Searcher
from basilwall.routing.bounds import Bounds
from basilwall.routing.searcher_stats import SearcherStats

ROUTE = Route('r', 'h', b'/a/', RetrySafety.IDEMPOTENT, 2, 2, 1, 0, None)
BOUNDS = Bounds(0.2, 50, 10, 6, 4, 4)


class SelectorStub:
    """Offers two searchers."""

    def __init__(self, clock):
        self.stats = [
            SearcherStats(
                Searcher(name, 's', f'{name}:1', 'z', 2, False, 0, 1), clock, 0
            )
            for name in ('s-1', 's-2')
        ]

    def pick_each(self, services, _):
        return [self.pick_and_count(service, ()) for service in services]

    def pick(self, service, tried):
        return self.pick_and_count(service, tried)

    def pick_and_count(self, _, tried):
        untried = (
            stats
            for stats in self.stats
            if stats.searcher.searcher_id not in tried
        )
        return next(untried, None)

    def stats_of(self, searcher):
        return next(one for one in self.stats if one.searcher == searcher)


class LostAttempt(Attempt):
    """An attempt on a connection that is reset at the first byte."""

    is_connected = True
    is_sent = True
    sent_at = 0

    def __init__(self, searcher):
        self.searcher = searcher

    def cancel(self, reason):
        return Lost(self.searcher.searcher_id, reason)


class ImmediateWaiter(AttemptWaiter):
    """Ends each attempt when it is added; counts the waits."""

    def __init__(self, clock):
        self.clock = clock
        self.waits = 0

    def add(self, attempt):
        return attempt.cancel(LossReason.CUT)

    def remove(self, attempt):
        """Do nothing: no attempt is waited for."""

    def wait(self, seconds):
        self.waits += 1
        self.clock.advance(max(seconds, 0.1))
        return ()


class TransportStub(Transport):
    """Makes attempts that are lost at once."""

    def make_waiter(self, caller):
        raise NotImplementedError

    def __init__(self, attempt_class=LostAttempt):
        self.attempt_class = attempt_class

    def prepare_attempt(self, call, searcher, deadline):
        return self.attempt_class(searcher)

    def prepare_connection(self, searcher):
        """Do nothing: there is no connection."""

    def release_connection(self, attempt):
        """Do nothing: there is no connection."""

    def supersede(self, attempt, attempt_number):
        """Do nothing: its result is not needed."""


class SilentAttempt(LostAttempt):
    """An attempt without an end."""


class SilentWaiter(ImmediateWaiter):
    """Waits for attempts without an end."""

    def add(self, _):
        """Return None: no attempt ends."""


class DetectorStub:
    """Records whether outcomes are of trials; `suspects` contents if set."""

    suspects = False

    def __init__(self):
        self.trials = []

    def is_quarantined(self, call):
        return False

    def is_suspected(self, _):
        return self.suspects

    def least_struck(self, *_):
        return 0

    def note_outcome(self, *_, is_trial, is_unanswered):
        self.trials.append(is_trial)


def make_execution(clock, subrequests, detector, transport=None, waiter=None):
    now = clock.monotonic()
    call = Call(b'GET', b'/a/', 'h', b'1', b'', b'', now, now + 2)
    waiter = waiter or ImmediateWaiter(clock)
    context = ForwardingContext(
        None,
        SelectorStub(clock),
        transport or TransportStub(),
        RetryPolicy(lambda: BOUNDS, lambda: 8, clock),
        detector,
        clock,
    )
    execution = RequestExecution(
        call, ROUTE, subrequests, context, waiter, Trail()
    )
    assert execution.admit(1)
    execution.run(SingleCompletion(call, ROUTE))
    return waiter


def test_a_request_whose_attempts_are_lost_at_once_does_not_wait():
    subrequest = SubRequest('s', 0)
    detector = DetectorStub()
    waiter = make_execution(ManualClock(), [subrequest], detector)
    assert len(subrequest.sent_to) == 2
    assert not any(detector.trials)
    assert subrequest.has_ended
    assert not waiter.waits


@pytest.mark.parametrize('is_suspected', [True, False])
def test_a_content_ends_one_or_two_searchers_and_not_one_a_shard(
    is_suspected,
):
    subrequests = [SubRequest(f's{number}', 0) for number in range(4)]
    detector = DetectorStub()
    detector.suspects = is_suspected
    waiter = make_execution(ManualClock(), subrequests, detector)
    assert not waiter.waits
    sent = sum(len(subrequest.sent_to) for subrequest in subrequests)
    expected = 1 if is_suspected else 2
    assert sent == expected
    assert len(detector.trials) == expected
    assert all(detector.trials)
    assert all(subrequest.has_ended for subrequest in subrequests)


def test_the_connection_of_a_hedge_is_prepared_before_it_is_due():
    clock, transport = ManualClock(), TransportStub(SilentAttempt)
    subrequest = SubRequest('s', 0)
    sent_when_prepared = []

    def prepare(searcher):
        sent_when_prepared.append((searcher.searcher_id, *subrequest.sent_to))

    transport.prepare_connection = prepare
    make_execution(
        clock, [subrequest], DetectorStub(), transport, SilentWaiter(clock)
    )
    assert sent_when_prepared == [('s-2', 's-1')]
    assert subrequest.sent_to == {'s-1', 's-2'}
