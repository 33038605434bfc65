"""Watches the platform and feeds its values to the register of revisions.

Each address of the platform has its own task and cursor, so that an address
that lags neither hides nor delays the changes of another one. If the platform
is down, the watch retries with exponential backoff and jitter; the values read
before stay in force meanwhile.
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
from basilwall.records.revision import NO_REVISION, Revision

#: Backoff after a failed watch; it doubles up to the maximum.
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 0.4
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.5
#: Least time between two successful watches.
MIN_INTERVAL_SECONDS = 0.05
#: Time from one line in the log to the next while no read succeeds.
FAILURE_LOG_SECONDS = 10.0
#: Time after which a VM that is no reader checks again whether it is one.
IDLE_INTERVAL_SECONDS = 1.0

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class WatchIntervals:
    """The times between two successful watches, in seconds.

    `first` follows the first one: in this time a new VM learns which others it
    can get changes from. `least` follows each further one.
    """

    first: float = MIN_INTERVAL_SECONDS
    least: float = MIN_INTERVAL_SECONDS


@dataclass(slots=True)
class PlatformHealth:
    """State of the connection to the platform, for operators.

    Attributes:
        last_read_at: Time of the last successful read, in monotonic seconds.
        failures: Failed reads since the last successful one.
        calls: All calls made.
        revision: The revision of the last reply. If it is below that of the
            register, the platform is stale or was reset to an older state.
        recovered_at: Time of the last successful read after a failed one, in
            monotonic seconds.
        first_read: Set after the first successful read.
    """

    last_read_at: float | None = None
    failures: int = 0
    calls: int = 0
    revision: Revision = NO_REVISION
    recovered_at: float = float('-inf')
    first_read: threading.Event = field(default_factory=threading.Event)


def _always() -> bool:
    return True


def _ignore_read(_: float) -> None:
    """Ignore a successful read."""


def _ignore_revision() -> None:
    """Ignore a new revision."""


class PlatformWatch:
    """Reads one address of the platform until the process stops.

    Args:
        reader: Reads the address.
        register: Gets the values.
        clock: Dates the reads.
        rng: The random generator of the jitter.
        is_reader: Returns whether this VM is to read the platform.
        record_read: Called after a successful read with its start time, in
            monotonic seconds.
        intervals: The times between two successful watches.
    """

    def __init__(
        self,
        reader: PlatformReader,
        register: RevisionRegister,
        clock: Clock,
        rng: random.Random,
        is_reader: Callable[[], bool] = _always,
        record_read: Callable[[float], None] = _ignore_read,
        intervals: WatchIntervals | None = None,
    ) -> None:
        self._intervals = intervals or WatchIntervals()
        self._reader = reader
        self._register = register
        self._clock = clock
        self._rng = rng
        self._is_reader = is_reader
        self._record_read = record_read
        self._after = NO_REVISION
        self._revision_lock = threading.Lock()
        #: Called when changes up to a later revision are known.
        self.on_revision: Callable[[], None] = _ignore_revision
        #: All changes after this revision have been received. Up to it, keys
        #: may have been added and removed in between.
        self.complete_since = NO_REVISION
        self.health = PlatformHealth()
        self._failing_since: float = 0
        self._next_failure_log_at: float = 0

    def run(self, stopping: threading.Event) -> None:
        """Watch until `stopping` is set."""
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while not stopping.is_set():
            if self._is_reader():
                backoff_seconds = self._read_and_wait(backoff_seconds, stopping)
            else:
                stopping.wait(IDLE_INTERVAL_SECONDS)

    def read(self) -> bool:
        """Make one call and apply its reply.

        Returns:
            True if the platform answered.
        """
        health = self.health
        health.calls += 1
        began_at = self._clock.monotonic()
        after = self._after
        try:
            reply = self._reader.watch(after)
        except PlatformError as error:
            health.failures += 1
            self._log_failed(error, began_at)
            return False
        self._apply(reply, after)
        if health.failures or reply.was_silent:
            health.recovered_at = self._clock.monotonic()
        if health.failures:
            _log.info(
                'platform read again',
                extra={
                    'failures': health.failures,
                    'unread_seconds': self._unread_seconds(),
                },
            )
        health.failures = 0
        health.last_read_at = self._clock.monotonic()
        health.first_read.set()
        self._record_read(began_at)
        return True

    def apply_relayed(self, reply: WatchReply) -> None:
        """Apply a reply that another VM relayed, beside those of the reader.

        Args:
            reply: The changes after a revision up to which all were known.
        """
        self._store_values(reply)
        with self._revision_lock:
            self._set_revision(max(self._after, reply.revision))
        self.on_revision()

    def _log_failed(self, error: PlatformError, began_at: float) -> None:
        now = self._clock.monotonic()
        if self.health.failures == 1:
            self._failing_since = began_at
        elif now < self._next_failure_log_at:
            return
        self._next_failure_log_at = now + FAILURE_LOG_SECONDS
        _log.warning(
            'platform not read',
            extra={
                'error': str(error),
                'seconds': round(now - began_at, 2),
                'failures': self.health.failures,
                'failing_seconds': round(now - self._failing_since, 2),
                'unread_seconds': self._unread_seconds(),
            },
        )

    def _unread_seconds(self) -> float | None:
        """Return the time since the last successful read, if any."""
        read_at = self.health.last_read_at
        if read_at is None:
            return None
        return round(self._clock.monotonic() - read_at, 2)

    def _read_and_wait(
        self,
        backoff_seconds: float,
        stopping: threading.Event,
    ) -> float:
        is_first = not self.health.first_read.is_set()
        if self.read():
            intervals = self._intervals
            stopping.wait(intervals.first if is_first else intervals.least)
            return INITIAL_BACKOFF_SECONDS
        jitter_factor = self._rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        stopping.wait(backoff_seconds * jitter_factor)
        return min(backoff_seconds * 2, MAX_BACKOFF_SECONDS)

    def _apply(self, reply: WatchReply, after: Revision) -> None:
        """Apply a reply to a watch for the changes after a revision."""
        self._store_values(reply)
        if reply.revision < after:
            _log.info(
                'revision of the platform went back',
                extra={'former': str(after), 'revision': str(reply.revision)},
            )
        with self._revision_lock:
            # The cursor follows the platform even if its revision goes down
            # after a restart: the register ignores values that it has already.
            # It keeps what another VM relayed during the watch.
            relayed = self._after if self._after > after else NO_REVISION
            is_set_back = reply.revision < after
            self._set_revision(
                reply.revision if is_set_back else max(reply.revision, relayed)
            )
        self.on_revision()

    def _set_revision(self, revision: Revision) -> None:
        self._after = revision
        self.health.revision = revision

    def _store_values(self, reply: WatchReply) -> None:
        removed_before: set[str] = set()
        if reply.is_restored:
            self.health.recovered_at = self._clock.monotonic()
            # A key that was removed is in force again only once it is written
            # again, which a later reply tells.
            removed_before = self._removed_keys()
        for published in reply.values:
            if published.key not in removed_before:
                self._register.offer(published)
        if reply.is_whole:
            self._remove_unlisted(reply)
            self.complete_since = max(self.complete_since, reply.revision)

    def _removed_keys(self) -> set[str]:
        stored = self._register.values_for(self._register.digest())
        return {published.key for published in stored if not published.body}

    def _remove_unlisted(self, reply: WatchReply) -> None:
        listed = {published.key for published in reply.values}
        listed.update(reply.live_keys)
        for key in self._register.digest().keys() - listed:
            removed = PublishedValue(key, reply.revision, b'')
            self._register.offer(removed)


def combined_health(watches: list[PlatformWatch]) -> PlatformHealth:
    """Return the health of all addresses together.

    Args:
        watches: The watches of all addresses.

    Returns:
        The latest read, the fewest failures, the sum of the calls and the
        highest revision.
    """
    healths = [watch.health for watch in watches]
    reads = [health.last_read_at for health in healths]
    return PlatformHealth(
        max((read for read in reads if read is not None), default=None),
        min(health.failures for health in healths),
        sum(health.calls for health in healths),
        max(health.revision for health in healths),
    )
