"""Sets events on SIGTERM and SIGINT, whatever the main thread does.

SIGHUP does nothing: settings are read again when their file changes.

Python runs signal handlers in the main thread. There it may hold the lock of
the event that it is about to wait for, which a handler would wait for for ever;
and while it waits for a lock, a signal that the system gives to another thread
does not wake it. So the interpreter writes the number of each signal to a pipe
at once, and a thread that reads from the pipe sets the events.
"""

import os
import signal
import threading
from collections.abc import Sequence

STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))


def set_on_stop_signals(*events: threading.Event) -> None:
    """Set the first event on the first signal, the next one on the next.

    Further signals set the last event. To be called from the main thread, once
    in a process.
    """
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
    threading.Thread(
        target=_set_events, args=(reader, events), daemon=True
    ).start()
    for handled in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(handled, _ignore_signal)


def _ignore_signal(*_: object) -> None:
    """Do nothing: the pipe reports the signals to stop."""


def _set_events(reader: int, events: Sequence[threading.Event]) -> None:
    stop_requests = 0
    while number := os.read(reader, 1):
        if ord(number) in STOP_SIGNALS:
            events[min(stop_requests, len(events) - 1)].set()
            stop_requests += 1
