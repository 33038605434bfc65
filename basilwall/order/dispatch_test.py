"""Tests of the dispatch of one order."""

from types import SimpleNamespace

import pytest

from basilwall.backend.trusting_crash_tracker_test import TrustingCrashTracker
from basilwall.order import dispatch as module
from basilwall.order.dispatch import Order, OrderDispatcher
from basilwall.parts.attempt_ids import AttemptIds
from basilwall.parts.clock import ManualClock
from basilwall.records.attempt import Answered, MayHaveRun, NotRun, OutcomeTag
from basilwall.records.order import OrderReason, OrderState


class FakeClock(ManualClock):
    """A clock whose wall clock can be set ahead alone."""

    wall_offset = 0

    def wall(self):
        return super().wall() + self.wall_offset


class FakePool:
    """Calls `before_send`, then delivers the next prepared outcome."""

    def __init__(self, address, pools):
        self.address = address
        self._pools = pools

    def submit(self, job):
        job.searcher = self.address
        self._pools.jobs.append(job)
        self._pools.before_send()
        if not job.may_send():
            job.deliver(job, NotRun(self.address, OutcomeTag.NOT_SENT))
            return
        self._pools.sent += 1
        make_outcome = self._pools.outcomes.pop(0)
        if make_outcome is not None:
            job.deliver(job, make_outcome(self.address))


class FakePools:
    """Three searchers of one part."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.jobs = []
        self.sent = 0
        self.before_send = int

    def pick(self, part, tried):
        remaining = [
            address for address in part.searchers if address not in tried
        ]
        return FakePool(remaining[0], self) if remaining else None


def shed(address):
    return NotRun(address, OutcomeTag.SHED, '', 700)


def lost(address):
    return MayHaveRun(address, OutcomeTag.LOST)


def answered(address):
    return Answered(address, 's1', b'[1]', 1, 1)


def dispatch(pools, clock, times=1, **changes):
    part = SimpleNamespace(instance='p', searchers=['x', 'y', 'z'])
    snapshot = SimpleNamespace(snapshot_id='s1', parts=[part])
    catalogue = SimpleNamespace(snapshots=[snapshot])
    state = SimpleNamespace(catalogue_by_service={'desk': catalogue})
    fields = {'deadline': 1002.0, 'ticket_expires_at': 1060.0, **changes}
    order = Order('r', 'desk', b'{}', fingerprint='0', **fields)
    dispatcher = OrderDispatcher(
        state,
        pools,
        TrustingCrashTracker(),
        AttemptIds('fake'),
        clock,
    )
    return [dispatcher.dispatch(order) for _ in range(times)][-1]


@pytest.mark.parametrize(
    ('outcomes', 'sent', 'state', 'reason'),
    [
        ([answered], 1, OrderState.RAN, OrderReason.ANSWERED),
        ([shed, answered], 2, OrderState.RAN, OrderReason.ANSWERED),
        ([lost], 1, OrderState.UNKNOWN, OrderReason.REPLY_LOST),
        ([shed, lost], 2, OrderState.UNKNOWN, OrderReason.REPLY_LOST),
        ([shed, shed, shed], 3, OrderState.NOT_RUN, OrderReason.OVERLOADED),
    ],
)
def test_only_proof_of_not_run_allows_another_attempt(
    outcomes,
    sent,
    state,
    reason,
):
    pools = FakePools(*outcomes)
    outcome = dispatch(pools, FakeClock())
    assert (pools.sent, outcome.state, outcome.reason) == (sent, state, reason)


@pytest.mark.parametrize('wall_only', [True, False])
def test_a_pause_before_the_first_byte_ends_the_order(wall_only):
    pools, clock = FakePools(answered), FakeClock()

    def pause():
        if wall_only:
            clock.wall_offset = 1.1
        else:
            clock.advance(1.1)

    pools.before_send = pause
    outcome = dispatch(pools, clock)
    assert pools.sent == 0
    assert len(pools.jobs) == 1
    assert outcome.state is OrderState.NOT_RUN
    assert outcome.reason is OrderReason.PAUSED


@pytest.mark.parametrize(
    'late',
    [{'deadline': 1000.0}, {'ticket_expires_at': 1000.0}],
)
def test_nothing_is_sent_after_the_deadline_or_expiry(late):
    pools = FakePools(answered)
    outcome = dispatch(pools, FakeClock(), **late)
    assert pools.sent == 0
    assert outcome.state is OrderState.NOT_RUN


def test_the_attempt_is_cancelled_at_the_deadline(monkeypatch):
    monkeypatch.setattr(module, 'CANCEL_GRACE_SECONDS', 0.01)
    pools, clock = FakePools(None), FakeClock()
    outcome = dispatch(pools, clock, deadline=1000.01)
    assert outcome.state is OrderState.UNKNOWN
    assert pools.jobs[0].is_cancelled
    pools.jobs[0].deliver(pools.jobs[0], answered('x'))


def test_orders_of_one_request_id_share_no_attempt_id():
    pools = FakePools(answered, shed, answered)
    dispatch(pools, FakeClock(), times=2)
    ids = [job.request.attempt_id for job in pools.jobs]
    assert len(set(ids)) == len(ids) == 3
