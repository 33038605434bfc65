"""A pause is detected by either clock; a read begun after it ends it."""

import threading

from basilwall.parts.clock import ManualClock
from basilwall.parts.pause_detector import PauseDetector


class OffsetWallClock(ManualClock):
    """A clock whose wall time can be ahead, as after a suspension."""

    wall_offset = 0

    def wall(self):
        return super().wall() + self.wall_offset


def test_a_long_gap_makes_the_state_stale_until_a_later_read():
    clock = OffsetWallClock()
    detector = PauseDetector(clock)
    clock.advance(0.9)
    assert detector.is_fresh()
    before = clock.monotonic()
    clock.advance(1.1)
    assert not detector.is_fresh()
    detector.record_read(before)
    assert not detector.is_fresh()
    detector.record_read(clock.monotonic())
    assert detector.is_fresh()
    assert detector.pause_count == 1


def test_a_pause_that_stops_the_monotonic_clock_is_detected():
    clock = OffsetWallClock()
    detector = PauseDetector(clock)
    clock.wall_offset = 5
    assert not detector.is_fresh()


def test_the_task_stops():
    stopping = threading.Event()
    stopping.set()
    PauseDetector(ManualClock()).run(stopping)
