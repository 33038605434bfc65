"""Signs of leaving: they spread, they end, and they don't go round for ever."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilwall.parts.clock import ManualClock
from basilwall.parts.leaving_searchers import (
    MAX_SEARCHERS,
    NOTICE_TTL_SECONDS,
    LeavingNotice,
    LeavingSearchers,
)

ONE = '10.0.0.1:1'
VMS = st.integers(min_value=0, max_value=2)
#: Longest time that a message is on its way, in seconds.
DELAY = 2.0


def tell(teller, listener, delay=0):
    """Pass on all signs as the wire does: with their ages."""
    now = teller.now()
    told = [
        (address, sign, now - sign.observed_at)
        for address, sign in teller.recent_notices()
    ]
    teller._clock.advance(delay)
    for address, sign, age in told:
        copy = LeavingNotice(
            sign.observer, sign.number, listener.now() - age, sign.is_revoked
        )
        listener.add_notice(address, copy)


def make(count):
    clock = ManualClock()
    return clock, [
        LeavingSearchers(clock, f'vm-{number}') for number in range(count)
    ]


def test_a_sign_that_goes_round_slowly_ends_all_the_same():
    clock, (one, two) = make(2)
    one.report_leaving(ONE)
    started = clock.monotonic()
    while one.is_leaving(ONE) or two.is_leaving(ONE):
        tell(one, two, delay=1)
        tell(two, one, delay=1)
        assert clock.monotonic() - started <= NOTICE_TTL_SECONDS + 2 * DELAY


def test_a_searcher_that_came_back_is_cleared_everywhere():
    _, (one, two) = make(2)
    one.report_leaving(ONE)
    tell(one, two)
    assert two.is_leaving(ONE)
    two.revoke_notices(ONE)
    tell(two, one)
    tell(one, two)
    assert not one.is_leaving(ONE)
    assert not two.is_leaving(ONE)
    one.report_leaving(ONE)
    tell(one, two)
    assert two.is_leaving(ONE)


def test_a_late_copy_does_not_bring_an_ended_sign_back():
    clock, (one,) = make(1)
    sign = LeavingNotice('another', 1, clock.monotonic())
    one.add_notice(ONE, sign)
    one.revoke_notices(ONE)
    one.add_notice(ONE, sign)
    assert not one.is_leaving(ONE)
    one.add_notice(ONE, LeavingNotice('another', 2, clock.monotonic()))
    assert one.is_leaving(ONE)


def test_the_list_is_believed_for_as_long_as_it_lasts():
    clock, (one,) = make(1)
    one.update_listed({ONE})
    clock.advance(10 * NOTICE_TTL_SECONDS)
    one.revoke_notices(ONE)
    assert one.is_leaving(ONE)
    assert one.notice_ages() == {ONE: 0}
    one.update_listed(())
    assert not one.is_leaving(ONE)


def test_listeners_hear_of_the_first_sign_only_and_signs_are_renewed_late():
    clock, (one,) = make(1)
    heard = []
    one.subscribe(lambda: heard.append(clock.monotonic()))
    assert [one.report_leaving(ONE), one.report_leaving(ONE)] == [True, False]
    clock.advance(NOTICE_TTL_SECONDS * 0.75)
    one.report_leaving(ONE)
    clock.advance(NOTICE_TTL_SECONDS * 0.75)
    assert one.is_leaving(ONE)
    assert len(heard) == 1
    clock.advance(NOTICE_TTL_SECONDS)
    assert one.report_leaving(ONE)
    assert len(heard) == 2


def test_addresses_are_capped_and_forgotten():
    clock, (one,) = make(1)
    for number in range(MAX_SEARCHERS + 10):
        one.report_leaving(f'{number}')
    assert len(one.notice_ages()) == MAX_SEARCHERS
    clock.advance(NOTICE_TTL_SECONDS * 3)
    assert not one.recent_notices()
    assert one.report_leaving('another')


class DeparturesMachine(RuleBasedStateMachine):
    """Three VMs that mark, tell each other late, and wait."""

    def __init__(self):
        super().__init__()
        self.clock, self.vms = make(3)
        self.marked_at = None

    @rule(number=VMS)
    def report_leaving(self, number):
        self.vms[number].report_leaving(ONE)
        self.marked_at = self.clock.monotonic()
        assert self.vms[number].is_leaving(ONE)

    @rule(teller=VMS, listener=VMS, delay=st.floats(0, DELAY))
    def tell(self, teller, listener, delay):
        age = self.vms[teller].notice_ages().get(ONE, NOTICE_TTL_SECONDS)
        tell(self.vms[teller], self.vms[listener], delay)
        # A sign seems younger by its delays; near its end the older age counts.
        if age + delay + DELAY * len(self.vms) < NOTICE_TTL_SECONDS:
            assert self.vms[listener].is_leaving(ONE)

    @rule(seconds=st.floats(0, 20))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def ends_in_time(self):
        last = self.marked_at
        late = NOTICE_TTL_SECONDS + DELAY * len(self.vms)
        if last is None or self.clock.monotonic() - last > late:
            assert not any(vm.is_leaving(ONE) for vm in self.vms)


TestDepartures = DeparturesMachine.TestCase
