"""The tasks that watch the platform and feed the register of revisions.

Each address of the platform has a task and a cursor of its own: a reader that
is behind then neither hides what another one knows nor holds up its news. A
platform that is down is asked again after a pause with jitter; what was
learned before stays in force for as long as it takes.
"""

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from basilwall.configuration.client import (
    PlatformError,
    PlatformReader,
    WatchReply,
)
from basilwall.parts.clock import Clock
from basilwall.parts.revisions import RevisionRegister
from basilwall.records.catalogue import PublishedValue

#: Pause after a failed watch, doubled up to the highest, in seconds.
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.5
#: Least time between two watches that returned values, in seconds.
MIN_INTERVAL_SECONDS = 0.05
#: Time after which a VM that does not read asks again if it is to, in seconds.
IDLE_INTERVAL_SECONDS = 1.0

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class PlatformHealth:
    """What is known of the platform, for operators and for pauses.

    `revision` is the highest that a reader returned last; a platform whose
    revision is below that of the register is stale or was set back.
    """

    last_read_at: float | None = None
    failures: int = 0
    calls: int = 0
    revision: int = 0
    #: When a read succeeded after a failed one, in monotonic seconds.
    recovered_at: float = float('-inf')
    first_read: threading.Event = field(default_factory=threading.Event)


def _always() -> bool:
    return True


def _ignore_read(_: float) -> None:
    """Pass over that the platform was read."""


class PlatformWatch:
    """Reads one address of the platform for as long as the process lives."""

    def __init__(
        self,
        reader: PlatformReader,
        register: RevisionRegister,
        clock: Clock,
        rng: random.Random,
        is_reader: Callable[[], bool] = _always,
        record_read: Callable[[float], None] = _ignore_read,
        min_interval_seconds: float = MIN_INTERVAL_SECONDS,
    ) -> None:
        self._min_interval_seconds = min_interval_seconds
        self._reader = reader
        self._register = register
        self._clock = clock
        self._rng = rng
        self._is_reader = is_reader
        self._record_read = record_read
        self._after = 0
        #: Changes after this revision are all known here; before it, some
        #: keys may have come and gone unseen.
        self.complete_since = 0
        self.health = PlatformHealth()

    def run(self, stopping: threading.Event) -> None:
        """Watch until `stopping` is set."""
        pause = INITIAL_BACKOFF_SECONDS
        while not stopping.is_set():
            if self._is_reader():
                pause = self._read_and_wait(pause, stopping)
            else:
                stopping.wait(IDLE_INTERVAL_SECONDS)

    def read(self) -> bool:
        """Make one call and take in what it returns.

        Returns:
            True if the platform answered.
        """
        health = self.health
        health.calls += 1
        began_at = self._clock.monotonic()
        try:
            reply = self._reader.watch(self._after)
        except PlatformError as error:
            health.failures += 1
            if health.failures == 1:
                _log.warning('platform not read', extra={'error': str(error)})
            return False
        self._take(reply)
        if health.failures:
            health.recovered_at = self._clock.monotonic()
            _log.info(
                'platform read again', extra={'failures': health.failures}
            )
        health.failures = 0
        health.last_read_at = self._clock.monotonic()
        health.first_read.set()
        self._record_read(began_at)
        return True

    def _read_and_wait(
        self,
        pause: float,
        stopping: threading.Event,
    ) -> float:
        if self.read():
            stopping.wait(self._min_interval_seconds)
            return INITIAL_BACKOFF_SECONDS
        jitter = self._rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        stopping.wait(pause * jitter)
        return min(pause * 2, MAX_BACKOFF_SECONDS)

    def _take(self, reply: WatchReply) -> None:
        for published in reply.values:
            self._register.offer(published)
        if reply.is_whole:
            self._remove_unlisted(reply)
            self.complete_since = reply.revision
        # The cursor follows its reader, also down after a restart of it: what
        # it says again is not new to the register.
        self._after = max(reply.revision, 0)
        self.health.revision = self._after

    def _remove_unlisted(self, reply: WatchReply) -> None:
        listed = {published.key for published in reply.values}
        for key in self._register.digest().keys() - listed:
            removed = PublishedValue(key, reply.revision, b'')
            self._register.offer(removed)


def combined_health(watches: list[PlatformWatch]) -> PlatformHealth:
    """Return the health of all addresses together, the best of each."""
    healths = [watch.health for watch in watches]
    reads = [one.last_read_at for one in healths]
    return PlatformHealth(
        max((read for read in reads if read is not None), default=None),
        min(one.failures for one in healths),
        sum(one.calls for one in healths),
        max(one.revision for one in healths),
    )
