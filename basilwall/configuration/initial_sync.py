"""Decides when a VM that starts knows enough to serve callers.

A VM that serves as soon as it has any document could serve one that is older
than what its peers have long put in force: to callers that is a reversion. So
it first asks the platform or waits a little for it, and asks its peers once.
"""

import threading
import time
from collections.abc import Callable, Sequence

from basilwall.configuration.state import PlatformState

#: Time between two looks, in seconds.
CHECK_INTERVAL_SECONDS = 0.05
#: Longest wait for the platform once the peers were asked, in seconds.
PLATFORM_TIMEOUT_SECONDS = 1.0


def wait_for_initial_sync(
    state: PlatformState,
    peers_asked: Callable[[], bool],
    first_reads: Sequence[threading.Event],
    stopping: threading.Event,
) -> None:
    """Wait until this VM knows enough, then say so in `state`.

    Args:
        state: What is in force.
        peers_asked: Whether all peers to be asked were asked once.
        first_reads: One event for each address of the platform.
        stopping: Ends the wait.
    """
    patient_until = time.monotonic() + PLATFORM_TIMEOUT_SECONDS
    while not stopping.wait(CHECK_INTERVAL_SECONDS):
        is_read = any(event.is_set() for event in first_reads)
        is_late = time.monotonic() > patient_until
        knows_fleet = is_read or (is_late and bool(state.fleet.vms))
        if knows_fleet and peers_asked():
            state.has_synced = True
            return
