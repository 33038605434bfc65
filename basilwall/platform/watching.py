"""The task that watches the platform and feeds the register of revisions.

A platform that is down is asked again after a pause with jitter; what was
learned before stays in force for as long as it takes.
"""

import logging
import random
import threading
from dataclasses import dataclass, field

from basilwall.parts.clock import Clock
from basilwall.parts.revisions import RevisionRegister
from basilwall.platform.client import PlatformError, PlatformReader

#: Pause after a failed watch, doubled up to the highest, in seconds.
FIRST_PAUSE = 0.2
HIGHEST_PAUSE = 2.0
LEAST_JITTER = 0.5
MOST_JITTER = 1.5
#: Least time between two watches that returned values, in seconds.
LEAST_GAP = 0.05

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class PlatformHealth:
    """What is known of the platform, for operators and for pauses."""

    last_read_at: float | None = None
    failures: int = 0
    calls: int = 0
    first_read: threading.Event = field(default_factory=threading.Event)


class PlatformWatch:
    """Reads the platform for as long as the process lives."""

    def __init__(
        self,
        readers: list[PlatformReader],
        register: RevisionRegister,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self._readers = readers
        self._register = register
        self._clock = clock
        self._source = source
        self._after = 0
        self.health = PlatformHealth()

    def run(self, stopping: threading.Event) -> None:
        """Watch until `stopping` is set."""
        pause = FIRST_PAUSE
        while not stopping.is_set():
            reader = self._readers[self.health.calls % len(self._readers)]
            if self._read(reader):
                pause = FIRST_PAUSE
                stopping.wait(LEAST_GAP)
                continue
            stopping.wait(
                pause * self._source.uniform(LEAST_JITTER, MOST_JITTER)
            )
            pause = min(pause * 2, HIGHEST_PAUSE)

    def _read(self, reader: PlatformReader) -> bool:
        self.health.calls += 1
        try:
            reply = reader.watch(self._after)
        except PlatformError as error:
            self.health.failures += 1
            _log.warning('platform not read', extra={'error': str(error)})
            return False
        for published in reply.values:
            self._register.offer(published)
        self._after = max(self._after, reply.revision)
        self.health.failures = 0
        self.health.last_read_at = self._clock.monotonic()
        self.health.first_read.set()
        return True
