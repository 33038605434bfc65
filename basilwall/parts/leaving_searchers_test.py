"""Notices of leaving searchers spread between VMs, and expire in time."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilwall.parts.clock import ManualClock
from basilwall.parts.leaving_searchers import (
    MAX_SEARCHERS,
    NOTICE_TTL_SECONDS,
    LeavingNotice,
    LeavingSearchers,
)

SEARCHER = '10.0.0.1:1'
VM_NUMBERS = st.integers(min_value=0, max_value=2)
#: Longest transit time of a message, in seconds.
DELAY = 2.0


def send_notices(sender, listener, delay=0):
    """Send all notices with their ages, as the wire protocol does."""
    now = sender.now()
    sent = [
        (address, notice, now - notice.observed_at)
        for address, notice in sender.recent_notices()
    ]
    sender._clock.advance(delay)
    for address, notice, age in sent:
        copy = LeavingNotice(
            notice.observer,
            notice.number,
            listener.now() - age,
            notice.is_revoked,
        )
        listener.add_notice(address, copy)


def make(count):
    clock = ManualClock()
    return clock, [
        LeavingSearchers(clock, f'vm-{number}') for number in range(count)
    ]


def test_a_notice_exchanged_with_delays_expires_in_time():
    clock, (first, second) = make(2)
    first.report_leaving(SEARCHER)
    started = clock.monotonic()
    while first.is_leaving(SEARCHER) or second.is_leaving(SEARCHER):
        send_notices(first, second, delay=1)
        send_notices(second, first, delay=1)
        assert clock.monotonic() - started <= NOTICE_TTL_SECONDS + 2 * DELAY


def test_a_restarted_searcher_is_cleared_on_all_vms():
    _, (first, second) = make(2)
    first.report_leaving(SEARCHER)
    send_notices(first, second)
    assert second.is_leaving(SEARCHER)
    second.revoke_notices(SEARCHER)
    send_notices(second, first)
    send_notices(first, second)
    assert not first.is_leaving(SEARCHER)
    assert not second.is_leaving(SEARCHER)
    first.report_leaving(SEARCHER)
    send_notices(first, second)
    assert second.is_leaving(SEARCHER)


def test_a_late_copy_does_not_restore_a_revoked_notice():
    clock, (first,) = make(1)
    notice = LeavingNotice('another', 1, clock.monotonic())
    first.add_notice(SEARCHER, notice)
    first.revoke_notices(SEARCHER)
    first.add_notice(SEARCHER, notice)
    assert not first.is_leaving(SEARCHER)
    first.add_notice(SEARCHER, LeavingNotice('another', 2, clock.monotonic()))
    assert first.is_leaving(SEARCHER)


def test_listed_searchers_are_leaving_until_the_list_changes():
    clock, (first,) = make(1)
    first.update_listed({SEARCHER})
    clock.advance(10 * NOTICE_TTL_SECONDS)
    first.revoke_notices(SEARCHER)
    assert first.is_leaving(SEARCHER)
    assert first.notice_ages() == {SEARCHER: 0}
    first.update_listed(())
    assert not first.is_leaving(SEARCHER)


def test_listeners_are_called_once_and_notices_are_renewed_late():
    clock, (first,) = make(1)
    calls = []
    first.subscribe(lambda: calls.append(clock.monotonic()))
    assert [first.report_leaving(SEARCHER), first.report_leaving(SEARCHER)] == [
        True,
        False,
    ]
    clock.advance(NOTICE_TTL_SECONDS * 0.75)
    first.report_leaving(SEARCHER)
    clock.advance(NOTICE_TTL_SECONDS * 0.75)
    assert first.is_leaving(SEARCHER)
    assert len(calls) == 1
    clock.advance(NOTICE_TTL_SECONDS)
    assert first.report_leaving(SEARCHER)
    assert len(calls) == 2


def test_searchers_are_limited_and_evicted():
    clock, (first,) = make(1)
    for number in range(MAX_SEARCHERS + 10):
        first.report_leaving(f'{number}')
    assert len(first.notice_ages()) == MAX_SEARCHERS
    clock.advance(NOTICE_TTL_SECONDS * 3)
    assert not first.recent_notices()
    assert first.report_leaving('another')


class LeavingSearchersMachine(RuleBasedStateMachine):
    """Three VMs that report, exchange notices with delays, and wait."""

    def __init__(self):
        super().__init__()
        self.clock, self.vms = make(3)
        self.reported_at = None

    @rule(number=VM_NUMBERS)
    def report_leaving(self, number):
        self.vms[number].report_leaving(SEARCHER)
        self.reported_at = self.clock.monotonic()
        assert self.vms[number].is_leaving(SEARCHER)

    @rule(sender=VM_NUMBERS, listener=VM_NUMBERS, delay=st.floats(0, DELAY))
    def send_notices(self, sender, listener, delay):
        age = self.vms[sender].notice_ages().get(SEARCHER, NOTICE_TTL_SECONDS)
        send_notices(self.vms[sender], self.vms[listener], delay)
        # Delays make a copy look younger; near expiry the greater age counts.
        if age + delay + DELAY * len(self.vms) < NOTICE_TTL_SECONDS:
            assert self.vms[listener].is_leaving(SEARCHER)

    @rule(seconds=st.floats(0, 20))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def ends_in_time(self):
        last = self.reported_at
        late = NOTICE_TTL_SECONDS + DELAY * len(self.vms)
        if last is None or self.clock.monotonic() - last > late:
            assert not any(vm.is_leaving(SEARCHER) for vm in self.vms)


TestLeavingSearchers = LeavingSearchersMachine.TestCase
