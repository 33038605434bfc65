"""A pause is seen by either clock, and ends with a read begun after it."""

import threading

from basilwall.parts.clock import ManualClock
from basilwall.parts.pause_detector import PauseDetector


class TwoClocks(ManualClock):
    """A clock whose wall time can run ahead, as after a sleep of the VM."""

    ahead = 0

    def wall(self):
        return super().wall() + self.ahead


def test_a_late_beat_makes_old_what_was_known():
    clock = TwoClocks()
    pauses = PauseDetector(clock)
    clock.advance(0.9)
    assert pauses.is_fresh()
    before = clock.monotonic()
    clock.advance(1.1)
    assert not pauses.is_fresh()
    pauses.record_read(before)
    assert not pauses.is_fresh()
    pauses.record_read(clock.monotonic())
    assert pauses.is_fresh()
    assert pauses.pause_count == 1


def test_a_pause_that_stops_the_monotonic_clock_is_seen():
    clock = TwoClocks()
    pauses = PauseDetector(clock)
    clock.ahead = 5
    assert not pauses.is_fresh()


def test_the_task_ends():
    stopping = threading.Event()
    stopping.set()
    PauseDetector(ManualClock()).run(stopping)
