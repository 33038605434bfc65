"""Keeps this VM to its share of the limits that searchers name.

The VMs share a limit equally, whatever an attempt is for: first attempts,
hedges and retries count alike.
"""

import logging
import threading
from bisect import bisect_left
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from basilwall.parts.clock import Clock
from basilwall.parts.rate_share import GOLDEN_RATIO, RateShare, TurnClock
from basilwall.records.ids import SearcherId, ServiceName
from basilwall.records.searcher import Searcher
from basilwall.routing.rate_limits import RateLimits

#: Share of a limit that all VMs together aim to use: some of them may not know
#: each other yet.
LIMIT_USE_RATIO = 0.9
#: A lower limit counts as this one. Without requests its end would go unseen.
MIN_REQUESTS_PER_SECOND = 0.25
#: Shares that are kept; at this count, all start anew.
MAX_SHARES = 4096
#: Interval between two log lines on the attempts at one searcher.
LOG_INTERVAL_SECONDS = 5.0

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Usage:
    """The share of one limit, and the attempts since the last log line."""

    share: RateShare
    logged_at: float
    attempts: int = 0
    extra_attempts: int = 0


class RateLimiter:
    """Counts this VM's attempts at the searchers that name a limit.

    `limits` are the limits that they named.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        fleet_size: Callable[[], int],
        searchers: Callable[[ServiceName], Sequence[Searcher]],
    ) -> None:
        """Start without counts.

        Args:
            clock: Dates the attempts.
            rng: Draws when the turns of this VM begin.
            fleet_size: Returns how many VMs share a limit.
            searchers: Returns the listed searchers of a service.
        """
        self.limits = RateLimits(clock)
        self._clock = clock
        self._fleet_size = fleet_size
        self._turns = TurnClock(clock, rng)
        self._usage_by_id: dict[SearcherId, _Usage] = {}
        self._searchers = searchers
        self._lock = threading.RLock()

    def has_room(self, searcher: Searcher) -> bool:
        """Return whether this VM may send a searcher a request now."""
        rate = self._share_of(searcher)
        return rate is None or self._usage(searcher).share.has_room(rate)

    def take(self, searcher: Searcher, *, is_extra: bool) -> bool:
        """Count a request to a searcher if this VM may send it now.

        Args:
            searcher: The searcher.
            is_extra: Whether the caller's request was sent to others before.

        Returns:
            False if the request must not be sent.
        """
        rate = self._share_of(searcher)
        if rate is None:
            return True
        with self._lock:
            usage = self._usage(searcher)
            if not usage.share.take(rate):
                return False
            usage.attempts += 1
            usage.extra_attempts += is_extra
            self._log_usage(searcher, usage, rate)
        return True

    def give_back(self, searcher: Searcher) -> None:
        """Forget a counted request that was not sent."""
        if self._share_of(searcher) is None:
            return
        with self._lock:
            self._usage(searcher).share.give_back()

    def seconds_until_room(self, searcher: Searcher) -> float:
        """Return when this VM may send a searcher its next request.

        Returns:
            Seconds from now, 0 for at once.
        """
        rate = self._share_of(searcher)
        if rate is None:
            return 0
        return self._usage(searcher).share.seconds_until_room(rate)

    def _share_of(self, searcher: Searcher) -> float | None:
        """Return this VM's share of a limit, in requests per second."""
        if not self.limits.are_named:
            return None
        limit = self.limits.limit_of(searcher)
        if limit is None:
            return None
        rate = max(limit, MIN_REQUESTS_PER_SECOND)
        return rate * LIMIT_USE_RATIO / self._fleet_size()

    def _usage(self, searcher: Searcher) -> _Usage:
        with self._lock:
            usage = self._usage_by_id.get(searcher.searcher_id)
            if usage is None:
                if len(self._usage_by_id) >= MAX_SHARES:
                    self._usage_by_id.clear()
                share = RateShare(self._turns, self._phase(searcher))
                usage = _Usage(share, self._clock.monotonic())
                self._usage_by_id[searcher.searcher_id] = usage
        return usage

    def _phase(self, searcher: Searcher) -> float:
        """Return the phase of a searcher, by its place among its replicas.

        The allowances of the replicas of a service come in different turns, and
        those of all services in the same ones.
        """
        replicas = sorted(
            (replica.zone, replica.searcher_id)
            for replica in self._searchers(searcher.service)
        )
        place = bisect_left(replicas, (searcher.zone, searcher.searcher_id))
        return place * GOLDEN_RATIO

    def _log_usage(
        self, searcher: Searcher, usage: _Usage, rate: float
    ) -> None:
        now = self._clock.monotonic()
        if now - usage.logged_at < LOG_INTERVAL_SECONDS:
            return
        _log.info(
            'attempts at a searcher that limits its rate',
            extra={
                'searcher': searcher.searcher_id,
                'seconds': round(now - usage.logged_at, 1),
                'attempts': usage.attempts,
                'extra': usage.extra_attempts,
                'share_per_second': round(rate, 3),
                'vms': self._fleet_size(),
            },
        )
        usage.logged_at = now
        usage.attempts = 0
        usage.extra_attempts = 0
