"""What a planned stop does while callers go on, and when they have left."""

import threading

import pytest

from basilwall.caller.planned_stop import MIN_REPLY_SECONDS, PlannedStop
from basilwall.parts.clock import ManualClock
from basilwall.settings.model import Stop

LIMIT_SECONDS = 8.0
REFUSED = 'new connections refused'


class Vm:
    """A VM under callers that stay until new connections are refused.

    With `are_stuck`, requests in flight never end.
    """

    def __init__(self, *, has_callers, are_stuck=False):
        self.clock = ManualClock()
        self.has_callers = has_callers
        self.are_stuck = are_stuck
        self.steps = []

    def stop(self):
        skip_balancer_wait = threading.Event()
        skip_balancer_wait.set()
        stop = Stop(balancer_lag_s=2, limit_s=LIMIT_SECONDS)
        return PlannedStop(
            stop, self.clock, self, self, self.announce, self.hand_over
        ).run(skip_balancer_wait)

    ends_at = None

    def announce(self):
        self.steps.append('announced')

    def hand_over(self, seconds):
        self.steps.append(('handed over', seconds))

    def wait_idle(self, seconds):
        is_idle = not (self.are_stuck or self.has_callers)
        self.clock.advance(0 if is_idle else seconds)
        return is_idle

    def refuse_new_connections(self):
        self.steps.append(REFUSED)
        self.has_callers = False

    def wait_flushed(self, _):
        return True


def test_callers_that_go_on_are_refused_in_time_for_their_requests():
    vm = Vm(has_callers=True)
    assert vm.stop()
    handed_over = ('handed over', LIMIT_SECONDS / 2)
    assert vm.steps == ['announced', REFUSED, handed_over, REFUSED]


def test_no_connection_is_refused_before_the_handover_if_callers_have_left():
    vm = Vm(has_callers=False)
    assert vm.stop()
    handed_over = ('handed over', LIMIT_SECONDS)
    assert vm.steps == ['announced', handed_over, REFUSED]


def test_requests_that_last_longer_than_the_stop_are_no_longer_admitted():
    vm = Vm(has_callers=True)
    began_at = vm.clock.monotonic()
    assert vm.stop()
    assert vm.ends_at == began_at + LIMIT_SECONDS


@pytest.mark.parametrize('has_callers', [True, False])
def test_a_stop_ends_and_says_so_if_requests_never_end(has_callers):
    vm = Vm(has_callers=has_callers, are_stuck=True)
    began_at = vm.clock.monotonic()
    assert not vm.stop()
    took = vm.clock.monotonic() - began_at
    assert took <= LIMIT_SECONDS + MIN_REPLY_SECONDS
