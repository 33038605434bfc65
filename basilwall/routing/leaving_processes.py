"""Processes of searchers that have said that they leave.

A process that has begun to leave doesn't return, but the platform may lose its
report and list an older one again, or learn of it late: the searcher may say so
in replies only. So VMs tell each other of what the platform doesn't say yet.
"""

import math
import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from basilwall.parts.clock import Clock
from basilwall.records.searcher import (
    Searcher,
    SearcherProcess,
    process_of,
)

#: Further processes replace those that were added first.
MAX_PROCESSES = 4096
#: Most notices that are told to another VM, the latest ones.
MAX_NOTICES = 64
#: Time for which a notice is told, from the searcher's reply on.
NOTICE_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """A process that leaves, which was said `age_seconds` ago."""

    process: SearcherProcess
    age_seconds: float


class LeavingProcesses:
    """The processes that have said that they leave, the latest ones.

    Of one searcher there may be several: another VM may tell of a former one
    after a later one has said so.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._has_new_notices = False
        self._processes: OrderedDict[SearcherProcess, None] = OrderedDict()
        #: When a process said so that the platform does not list as leaving.
        self._said_at_by_process: OrderedDict[SearcherProcess, float] = (
            OrderedDict()
        )

    def __contains__(self, searcher: Searcher) -> bool:
        """Return whether this process has said that it leaves."""
        return process_of(searcher) in self._processes

    def add(self, process: SearcherProcess) -> bool:
        """Add a process; False if it had been added before."""
        if process in self._processes:
            return False
        self._processes[process] = None
        if len(self._processes) > MAX_PROCESSES:
            self._processes.popitem(last=False)
        return True

    def note_unreported(self, process: SearcherProcess, age: float) -> None:
        """Tell other VMs of a process, until the platform reports it.

        Args:
            process: The process that leaves.
            age: How long ago it said so, in seconds.
        """
        with self._lock:
            self._has_new_notices = True
            self._said_at_by_process[process] = self._clock.monotonic() - age
            if len(self._said_at_by_process) > MAX_NOTICES:
                self._said_at_by_process.popitem(last=False)

    def note_reported(self, process: SearcherProcess) -> None:
        """Stop telling of a process: the platform lists it as leaving."""
        with self._lock:
            self._said_at_by_process.pop(process, None)

    def notices(self) -> list[LeavingNotice]:
        """Return what other VMs are told."""
        now = self._clock.monotonic()
        with self._lock:
            said = tuple(self._said_at_by_process.items())
        return [
            LeavingNotice(process, now - said_at)
            for process, said_at in said
            if now - said_at <= NOTICE_SECONDS
        ]

    def take_new_notices(self) -> bool:
        """Return whether there are notices that were not pushed yet.

        Those that the platform has reported meanwhile need no push.
        """
        with self._lock:
            has_new, self._has_new_notices = self._has_new_notices, False
        return has_new and bool(self.notices())


def valid_notices(notices: Iterable[LeavingNotice]) -> list[LeavingNotice]:
    """Return the notices of another VM that can be applied, some at most."""
    return [
        notice
        for notice in list(notices)[:MAX_NOTICES]
        if math.isfinite(notice.age_seconds)
        and 0 <= notice.age_seconds <= NOTICE_SECONDS
    ]
