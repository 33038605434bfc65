"""Admission: what is taken in, and what is refused at once.

The cap on requests in flight turns a burst into refusals that cost little,
in place of memory. A stopping VM stops admitting only after the balancer had
time to see it.
"""

import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from basilwall.document.model import Document
from basilwall.records.answer import RefusalReason
from basilwall.records.ids import ClassName, ServiceName

_Slot = tuple[ServiceName, ClassName]


class NotAdmittedError(Exception):
    """A request that was refused before anything of it ran."""

    def __init__(self, reason: RefusalReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Admission:
    """Counts requests in flight against their caps."""

    def __init__(self, max_in_flight: int) -> None:
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self._in_flight_by_slot: Counter[_Slot] = Counter()
        self._idle = threading.Condition()

    @contextmanager
    def admitted(
        self,
        document: Document,
        class_name: ClassName,
    ) -> Iterator[None]:
        """Hold one place for the length of a block.

        Args:
            document: The document in force.
            class_name: One of its classes.

        Yields:
            Nothing.

        Raises:
            NotAdmittedError: If a cap is reached; nothing was run.
        """
        slot = (document.service, class_name)
        self._enter(slot, document.classes[class_name].max_in_flight)
        try:
            yield
        finally:
            self._leave(slot)

    def wait_idle(self, timeout: float) -> bool:
        """Wait until nothing is in flight.

        Args:
            timeout: The longest wait, in seconds.

        Returns:
            False if requests were still in flight at the end.
        """
        with self._idle:
            return self._idle.wait_for(lambda: self.in_flight == 0, timeout)

    def _enter(self, slot: _Slot, class_limit: int) -> None:
        with self._idle:
            full = self.in_flight >= self.max_in_flight
            if full or self._in_flight_by_slot[slot] >= class_limit:
                raise NotAdmittedError(RefusalReason.OVERLOADED)
            self.in_flight += 1
            self._in_flight_by_slot[slot] += 1

    def _leave(self, slot: _Slot) -> None:
        with self._idle:
            self.in_flight -= 1
            self._in_flight_by_slot[slot] -= 1
            if self.in_flight == 0:
                self._idle.notify_all()
