"""Waits on startup until the VM has synced its configuration.

A VM that serves with the first document it gets could use an older one than
its peers have in force; callers would see the configuration go back. So a
starting VM first reads the platform, or waits a limited time for it, and asks
its peers once.
"""

import threading
import time
from collections.abc import Callable, Sequence

from basilwall.configuration.state import PlatformState

#: Time between two checks of the conditions.
CHECK_INTERVAL_SECONDS = 0.05
#: Time after which a fleet list from peers suffices, without the platform.
PLATFORM_TIMEOUT_SECONDS = 1.0


def wait_for_initial_sync(
    state: PlatformState,
    are_peers_asked: Callable[[], bool],
    first_reads: Sequence[threading.Event],
    stopping: threading.Event,
) -> None:
    """Wait until this VM has synced, then set `has_synced` of `state`.

    Args:
        state: The values in force.
        are_peers_asked: Returns whether every peer was asked once.
        first_reads: One event for each address of the platform, set after
            its first successful read.
        stopping: Ends the wait.
    """
    deadline = time.monotonic() + PLATFORM_TIMEOUT_SECONDS
    while not stopping.wait(CHECK_INTERVAL_SECONDS):
        is_read = any(event.is_set() for event in first_reads)
        is_overdue = time.monotonic() > deadline
        has_fleet = is_read or (is_overdue and bool(state.fleet.vms))
        if has_fleet and are_peers_asked():
            state.has_synced = True
            return
