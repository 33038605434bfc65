"""Selects the searcher of an attempt: the one expected to answer first.

Searchers differ by distance, speed, load and health, which their expected
response times cover (see `routing/searcher_stats.py`). The cost that is
compared here adds the time to open a connection if none is idle.
"""

import logging
import math
import random
import threading
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from contextlib import nullcontext

from basilwall.parts.clock import Clock
from basilwall.records.forwarding import Reply
from basilwall.records.ids import SearcherId, ServiceName
from basilwall.records.rate_limit import RateLimitNotice
from basilwall.records.searcher import (
    Searcher,
    is_same_process,
    process_of,
)
from basilwall.routing.location import RoundTripTimes
from basilwall.routing.rate_limiter import RateLimiter
from basilwall.routing.routing_state import RoutingState
from basilwall.routing.searcher_stats import SearcherStats

#: Costs are raised by a random share up to this, to spread equal searchers.
COST_JITTER_RATIO = 0.15
#: Time that a searcher takes to accept a connection, beside the round trip;
#: specified as 1 to 6 ms.
CONNECTION_SETUP_SECONDS = 0.006
#: Added instead if this VM has already used its share of connections.
OVER_SHARE_PENALTY_SECONDS = 0.05
NO_LOCK = nullcontext()

_log = logging.getLogger(__name__)


class ConnectionAvailability(ABC):
    """Tells whether a connection to a searcher is available."""

    @abstractmethod
    def has_idle_connection(self, searcher: Searcher) -> bool:
        """Return whether an idle connection is available."""

    @abstractmethod
    def may_open_connection(self, searcher: Searcher) -> bool:
        """Return whether this VM's share allows one more connection."""


class SearcherSelector:
    """Selects searchers by the statistics that this VM keeps of them."""

    def __init__(
        self,
        routing_state: RoutingState,
        round_trips: RoundTripTimes,
        availability: ConnectionAvailability,
        rate_limiter: RateLimiter,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._routing_state = routing_state
        self._round_trips = round_trips
        self._availability = availability
        self._rate_limiter = rate_limiter
        self._rate_limits = rate_limiter.limits
        self._clock = clock
        self._rng = rng
        self._stats_by_id: dict[SearcherId, SearcherStats] = {}
        self._last_rest_until = -math.inf
        self._lock = threading.Lock()
        self._admission_lock = threading.Lock()

    def pick(
        self,
        service: ServiceName,
        tried: Collection[SearcherId],
    ) -> SearcherStats | None:
        """Choose the searcher of a service with the least cost.

        Args:
            service: The service.
            tried: Searchers that the request has already tried.

        Returns:
            The statistics of the searcher, or None if none is left. Searchers
            are left out that are down, that asked for a rest, or whose limit
            leaves this VM no request now.
        """
        now = self._clock.monotonic()
        chosen: SearcherStats | None = None
        least_cost = math.inf
        for searcher in self._routing_state.searchers(service):
            if searcher.searcher_id in tried:
                continue
            stats = self.stats_of(searcher)
            # No cost is below the round trip, so most far searchers need none.
            if stats.round_trip < least_cost and self._is_usable(stats, now):
                cost = self._cost(stats, now)
                if cost < least_cost:
                    chosen, least_cost = stats, cost
        return chosen

    def pick_and_count(
        self, service: ServiceName, tried: Collection[SearcherId]
    ) -> SearcherStats | None:
        """Choose a searcher as `pick` does, and count it against its limit.

        Args:
            service: The service.
            tried: Searchers that the request has already tried.

        Returns:
            The statistics of the searcher, or None if none is left.
        """
        is_extra = bool(tried)
        stats = self.pick(service, tried)
        while stats is not None:
            if self._rate_limiter.take(stats.searcher, is_extra=is_extra):
                break
            # Another request took what its limit left.
            stats = self.pick(service, tried)
        return stats

    def pick_each(
        self, services: Sequence[ServiceName], needed: int
    ) -> list[SearcherStats | None]:
        """Choose the searchers of the first attempts of a request.

        Requests that need many services at once are served one by one here.
        Else each could take what another one lacks, and none would be complete.

        Args:
            services: The services that the request goes to.
            needed: How many of them must have a searcher.

        Returns:
            A choice for each service, None where there is no searcher. Empty if
            fewer than `needed` have one; nothing is counted then.
        """
        with self._admission_lock if self._rate_limits.are_named else NO_LOCK:
            picks = [self.pick_and_count(service, ()) for service in services]
            chosen = [stats for stats in picks if stats is not None]
            if len(chosen) >= needed:
                return picks
            for stats in chosen:
                self._rate_limiter.give_back(stats.searcher)
            return []

    def rate_limit_notices(self) -> list[RateLimitNotice]:
        """Return what other VMs are told of the limits of searchers."""
        return self._rate_limits.notices()

    def apply_rate_limit(self, notice: RateLimitNotice) -> None:
        """Record what another VM heard of the limit of a searcher."""
        searcher = self._routing_state.all_searchers().get(notice.searcher)
        if searcher is not None:
            self._rate_limits.apply_notice(searcher, notice)

    def seconds_until_usable(self, service: ServiceName) -> float:
        """Return when a searcher of a service may get a request.

        Returns:
            Seconds from now: 0 if one may get it at once, infinity if none is
            listed.
        """
        listed = self._routing_state.searchers(service)
        return min(map(self._seconds_until_usable, listed), default=math.inf)

    def record_announcements(
        self, searcher: Searcher, reply: Reply, sent_at: float
    ) -> None:
        """Record what a searcher says of itself in a reply.

        Args:
            searcher: The searcher that the attempt was sent to.
            reply: Its reply.
            sent_at: When the attempt was sent, in monotonic seconds.
        """
        self._rate_limits.record_reply(searcher, reply, sent_at)
        if reply.is_leaving:
            self._routing_state.record_leaving(process_of(searcher))
        if reply.rest_seconds is not None:
            rest_until = self._clock.monotonic() + reply.rest_seconds
            self._last_rest_until = max(self._last_rest_until, rest_until)
            self.stats_of(searcher).record_rest(reply.rest_seconds)
            _log.info(
                'searcher asks for a rest',
                extra={
                    'searcher': searcher.searcher_id,
                    'seconds': reply.rest_seconds,
                },
            )

    def stats_of(self, searcher: Searcher) -> SearcherStats:
        """Return the statistics of a searcher, new ones if it restarted.

        Those of a former process are kept no longer than its attempts last.
        """
        existing = self._stats_by_id.get(searcher.searcher_id)
        round_trip = self._round_trips.to_zone(searcher.zone)
        if existing is not None and (
            existing.searcher is searcher
            or is_same_process(searcher, existing.searcher)
        ):
            existing.round_trip = round_trip
            return existing
        created = SearcherStats(searcher, self._clock, round_trip)
        if existing is None:
            with self._lock:
                return self._stats_by_id.setdefault(
                    searcher.searcher_id, created
                )
        listed = self._routing_state.all_searchers().get(searcher.searcher_id)
        if is_same_process(listed, searcher):
            with self._lock:
                self._stats_by_id[searcher.searcher_id] = created
        return created

    def forget_unlisted(self) -> None:
        """Drop the statistics of searchers that are no longer listed."""
        listed = self._routing_state.all_searchers()
        self._rate_limits.forget_unlisted(listed)
        with self._lock:
            self._stats_by_id = {
                searcher_id: stats
                for searcher_id, stats in self._stats_by_id.items()
                if is_same_process(listed.get(searcher_id), stats.searcher)
                # It may be listed again before its rest ends.
                or stats.rest_seconds_left
            }

    def _seconds_until_usable(self, searcher: Searcher) -> float:
        stats, now = self.stats_of(searcher), self._clock.monotonic()
        return max(
            stats.rest_seconds_left,
            self._down_seconds_left(stats, now),
            self._rate_limiter.seconds_until_room(searcher),
        )

    def _down_seconds_left(self, stats: SearcherStats, now: float) -> float:
        """Return for how long a searcher has no usable connection."""
        seconds = stats.down_seconds_left(now)
        has_idle_connection = self._availability.has_idle_connection
        return 0 if seconds and has_idle_connection(stats.searcher) else seconds

    def _is_usable(self, stats: SearcherStats, now: float) -> bool:
        """Return whether a searcher may get a request now."""
        if self._down_seconds_left(stats, now):
            return False
        if now < self._last_rest_until and stats.rest_seconds_left:
            return False
        if not self._rate_limits.are_named:
            return True
        return self._rate_limiter.has_room(stats.searcher)

    def _cost(self, stats: SearcherStats, now: float) -> float:
        jitter = 1 + self._rng.random() * COST_JITTER_RATIO
        connection_cost = _connection_cost(stats, self._availability)
        return stats.expected_seconds(now) * jitter + connection_cost


def _connection_cost(
    stats: SearcherStats, availability: ConnectionAvailability
) -> float:
    """Return the expected time to get a connection, in seconds."""
    if availability.has_idle_connection(stats.searcher):
        return 0
    if availability.may_open_connection(stats.searcher):
        return stats.round_trip + CONNECTION_SETUP_SECONDS
    return stats.round_trip + OVER_SHARE_PENALTY_SECONDS
