"""What signals mean to a process that is yet to import what it runs.

Their default is to end the process, also that of SIGHUP, which says that the
settings have changed: they are read after the imports. SIGTERM ends the process
at once, since it serves nothing yet.
"""

import os
import signal


def handle_early_signals() -> None:
    """Handle signals until the program sets its own handlers.

    To be called from the main thread, before anything large is imported.
    """
    signal.signal(signal.SIGHUP, _ignore_signal)
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        signal.signal(stop_signal, _end_process)


def _ignore_signal(*_: object) -> None:
    """Do nothing."""


def _end_process(*_: object) -> None:
    # An exception could be swallowed by the code that is being imported.
    os._exit(0)
