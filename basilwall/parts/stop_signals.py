"""Sets events on SIGTERM and SIGINT without taking a lock in the handler.

A signal handler runs in the main thread at any point, also while that thread
holds the lock of the event that it is about to wait for. To set the event there
would wait for that lock for ever. So the handler only writes to a pipe, and a
thread that reads from it sets the events.
"""

import os
import signal
import threading
from collections.abc import Sequence
from functools import partial

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_ONE_SIGNAL = b'\0'


def set_on_stop_signals(*events: threading.Event) -> None:
    """Set the first event on the first signal, the next one on the next.

    Further signals set the last event. To be called from the main thread, once
    in a process.
    """
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    threading.Thread(
        target=_set_events, args=(reader, events), daemon=True
    ).start()
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, partial(_report, writer))


def _report(writer: int, *_: object) -> None:
    try:
        os.write(writer, _ONE_SIGNAL)
    except BlockingIOError:
        # As many signals as the pipe holds are unread; one more adds nothing.
        return


def _set_events(reader: int, events: Sequence[threading.Event]) -> None:
    signals = 0
    while os.read(reader, 1):
        events[min(signals, len(events) - 1)].set()
        signals += 1
