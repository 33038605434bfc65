"""Watches whether this VM reaches any searcher at all.

A single searcher that is silent or refuses connections says nothing of the
links of this VM. So if no reply comes, or no new connection succeeds, the VM
probes searchers of all services: if none accepts, its links are lost.
"""

import logging
import threading
from collections.abc import Callable, Collection
from random import Random

from basilwall.backend.probe import find_dead
from basilwall.parts.clock import Clock
from basilwall.records.forwarding import (
    AttemptResult,
    LossReason,
    Reply,
    Unsent,
)
from basilwall.records.ids import SearcherAddress, SearcherId
from basilwall.records.searcher import Searcher

CHECK_INTERVAL_SECONDS = 0.1
#: Silence of this many searchers for this long, or of one for longer, is
#: examined. Searchers pause for up to 0.25 s, each at its own time.
MIN_SILENT_SEARCHERS = 3
SILENCE_SECONDS = 0.3
LONG_SILENCE_SECONDS = 0.8
#: Failed connects to this many searchers, with no success, are examined.
MIN_FAILED_CONNECTS = 2
#: Searchers that are probed at a time, and for how long.
MAX_PROBED = 6
PROBE_SECONDS = 0.3
#: The result of a probe that took longer says nothing.
MAX_PROBE_SECONDS = 0.5

_log = logging.getLogger(__name__)

Probe = Callable[[Collection[SearcherAddress], float], set[SearcherAddress]]


class SearcherLinks:
    """The state of this VM's links to the searchers as a whole."""

    def __init__(
        self,
        addresses: Callable[[], Collection[SearcherAddress]],
        clock: Clock,
        rng: Random,
        probe: Probe = find_dead,
    ) -> None:
        """Start with links that count as working.

        Args:
            addresses: Returns the addresses of all listed searchers.
            clock: Dates replies.
            rng: Draws the searchers to probe.
            probe: Returns which of some searchers accept no connection.
        """
        #: True while no searcher can be reached.
        self.are_lost = False
        #: Called with `are_lost` after each change.
        self.on_change: Callable[[bool], None] = _ignore_change
        self._addresses = addresses
        self._clock = clock
        self._rng = rng
        self._probe = probe
        self._last_reply_at = clock.monotonic()
        self._silent_since_by_id: dict[SearcherId, float] = {}
        self._failed_connects: set[SearcherId] = set()
        self._lock = threading.Lock()
        self._probe_lock = threading.Lock()

    def run(self, stopping: threading.Event) -> None:
        """Check the links until `stopping` is set."""
        while not stopping.wait(CHECK_INTERVAL_SECONDS):
            self.check()

    def reply_age_seconds(self) -> float:
        """Return how long ago a searcher last replied."""
        return self._clock.monotonic() - self._last_reply_at

    def record_started(self, searcher: Searcher) -> None:
        """Record that an attempt at a searcher starts."""
        now = self._clock.monotonic()
        with self._lock:
            self._silent_since_by_id.setdefault(searcher.searcher_id, now)

    def record_connected(self) -> None:
        """Record that a new connection was established."""
        with self._lock:
            self._failed_connects.clear()

    def record_result(self, searcher: Searcher, outcome: AttemptResult) -> None:
        """Record how an attempt ended that was not cancelled."""
        with self._lock:
            if isinstance(outcome, Reply):
                self._last_reply_at = self._clock.monotonic()
                self._silent_since_by_id.clear()
            elif _is_failed_connect(outcome):
                self._failed_connects.add(searcher.searcher_id)

    def check(self) -> None:
        """Probe searchers if the links are lost or seem to be."""
        if self.are_lost or self._seem_lost():
            self.examine()

    def examine(self) -> bool:
        """Probe searchers now; return whether this VM reaches any."""
        with self._probe_lock:
            self._probe_links()
        return not self.are_lost

    def _probe_links(self) -> None:
        addresses = sorted(self._addresses())
        probed = self._rng.sample(addresses, min(len(addresses), MAX_PROBED))
        if not probed:
            return
        started_at = self._clock.monotonic()
        dead = self._probe(probed, PROBE_SECONDS)
        # A process that was held up itself misses connections that succeeded.
        if self._clock.monotonic() - started_at > MAX_PROBE_SECONDS:
            return
        are_lost = len(dead) == len(probed)
        if are_lost is not self.are_lost:
            self._log_change(len(probed), are_lost=are_lost)
            self.are_lost = are_lost
            self.on_change(are_lost)
        if not are_lost:
            with self._lock:
                self._silent_since_by_id.clear()
                self._failed_connects.clear()

    def _seem_lost(self) -> bool:
        with self._lock:
            if len(self._failed_connects) >= MIN_FAILED_CONNECTS:
                return True
            silent_since = sorted(self._silent_since_by_id.values())
        now = self._clock.monotonic()
        if silent_since and now - silent_since[0] >= LONG_SILENCE_SECONDS:
            return True
        long_silent = [
            since for since in silent_since if now - since >= SILENCE_SECONDS
        ]
        return len(long_silent) >= MIN_SILENT_SEARCHERS

    def _log_change(self, probed: int, *, are_lost: bool) -> None:
        _log.info(
            'no searcher reached' if are_lost else 'searchers reached again',
            extra={
                'probed': probed,
                'silent': len(self._silent_since_by_id),
                'connects_failed': len(self._failed_connects),
                'last_reply_s_ago': round(self.reply_age_seconds(), 2),
            },
        )


def _ignore_change(_: bool) -> None:
    """Do nothing; replaced once the links to the other VMs exist."""


def _is_failed_connect(outcome: AttemptResult) -> bool:
    return (
        isinstance(outcome, Unsent)
        and outcome.reason is LossReason.NOT_CONNECTED
    )
