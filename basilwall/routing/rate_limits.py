"""Rate limits that searchers name in their replies.

A searcher in need names how many requests per second it takes from all VMs
together. The limit holds until a reply no longer names one.
"""

import logging
import threading
from dataclasses import dataclass

from basilwall.parts.clock import Clock
from basilwall.records.forwarding import Reply
from basilwall.records.ids import SearcherId
from basilwall.records.searcher import Searcher

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Limit:
    """The limit of one searcher process; times are in monotonic seconds."""

    started_ms: int
    requests_per_second: float
    named_at: float
    observed_at: float
    attempts: int = 0
    extra_attempts: int = 0


class RateLimits:
    """The limits that searchers named, and this VM's attempts since then."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits_by_id: dict[SearcherId, _Limit] = {}
        self._lock = threading.Lock()

    def count(self) -> int:
        """Return how many searchers name a limit."""
        return len(self._limits_by_id)

    def record_reply(
        self, searcher: Searcher, reply: Reply, sent_at: float
    ) -> None:
        """Record what a reply says of the searcher's limit.

        Args:
            searcher: The searcher that replied.
            reply: Its reply. One that says that the request did not run may
                leave the limit out, so it does not end it.
            sent_at: When the request was sent, in monotonic seconds. A reply
                to a request that was sent before the limit was named does not
                end it: it may have been overtaken.
        """
        with self._lock:
            existing = self._limits_by_id.get(searcher.searcher_id)
            if existing and existing.started_ms != searcher.started_ms:
                existing = None
            if reply.rate_limit is not None:
                self._name(searcher, existing, reply.rate_limit)
            elif existing is None or not reply.has_run:
                return
            elif sent_at > existing.observed_at:
                self._end(searcher, existing)

    def count_attempt(self, searcher: Searcher, *, is_extra: bool) -> None:
        """Count an attempt; `is_extra` if the request tried others before."""
        limit = self._limits_by_id.get(searcher.searcher_id)
        if limit is not None:
            limit.attempts += 1
            limit.extra_attempts += is_extra

    def _name(
        self, searcher: Searcher, existing: _Limit | None, limit: float
    ) -> None:
        now = self._clock.monotonic()
        previous = existing.requests_per_second if existing else None
        if existing is None:
            existing = _Limit(searcher.started_ms, limit, now, now)
            self._limits_by_id[searcher.searcher_id] = existing
        existing.requests_per_second = limit
        existing.observed_at = now
        if previous != limit:
            _log_change(searcher, existing, previous, now)

    def _end(self, searcher: Searcher, limit: _Limit) -> None:
        self._limits_by_id.pop(searcher.searcher_id)
        previous, limit.requests_per_second = limit.requests_per_second, 0
        _log_change(searcher, limit, previous, self._clock.monotonic())


def _log_change(
    searcher: Searcher, limit: _Limit, previous: float | None, now: float
) -> None:
    _log.info(
        'searcher limits its rate'
        if limit.requests_per_second
        else 'searcher limits its rate no more',
        extra={
            'searcher': searcher.searcher_id,
            'service': searcher.service,
            'per_second': limit.requests_per_second,
            'former': previous,
            'seconds': round(now - limit.named_at, 1),
            'attempts': limit.attempts,
            'extra': limit.extra_attempts,
        },
    )
