"""The thread that waits for superseded attempts."""

import queue
from types import SimpleNamespace

from basilwall.forwarding.superseded import SupersededAttempts
from basilwall.parts.clock import ManualClock

#: More than the interpreter allows to recurse.
QUEUED = 3000


def test_a_long_queue_of_superseded_attempts_ends_no_thread():
    attempts = SupersededAttempts(None, None, ManualClock())
    started = []
    attempts._waiter = SimpleNamespace(add=started.append)
    attempts._new_attempts = queue.SimpleQueue()
    for number in range(QUEUED):
        attempts._new_attempts.put((object(), number))
    attempts._start_all()
    assert len(started) == QUEUED
