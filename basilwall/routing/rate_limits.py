"""Rate limits that searchers name in their replies.

A searcher in need names how many requests per second it takes from all VMs
together; the limit holds until a reply no longer names one. VMs tell each other
the limits, so that one that has not used a searcher lately knows them too.
"""

import logging
import math
import threading
from collections.abc import Mapping
from dataclasses import dataclass

from basilwall.parts.clock import Clock
from basilwall.records.forwarding import Reply
from basilwall.records.ids import SearcherId
from basilwall.records.rate_limit import RateLimitNotice
from basilwall.records.searcher import Searcher

#: Older notices of other VMs are ignored; the end of a limit is told for twice
#: as long, so that nobody learns the limit anew from a VM that missed its end.
MAX_NOTICE_AGE_SECONDS = 5.0
ENDED_LIMIT_TTL_SECONDS = 2 * MAX_NOTICE_AGE_SECONDS
#: Notices in one message, the latest first.
MAX_NOTICES = 128

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What a searcher process said last of its limit.

    `requests_per_second` is for all VMs together, None if the limit has ended.
    `observed_at` is when it said so, in monotonic seconds.
    """

    started_ms: int
    requests_per_second: float | None
    observed_at: float


class RateLimits:
    """The limits that searchers named, as heard from them or from other VMs."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits_by_id: dict[SearcherId, RateLimit] = {}
        self._lock = threading.Lock()

    @property
    def are_named(self) -> bool:
        """False if surely no searcher has a limit, which is the usual case."""
        return bool(self._limits_by_id)

    def count(self) -> int:
        """Return how many searchers name a limit."""
        with self._lock:
            limits = list(self._limits_by_id.values())
        return sum(
            1 for limit in limits if limit.requests_per_second is not None
        )

    def limit_of(self, searcher: Searcher) -> float | None:
        """Return the limit of a searcher in requests per second, if it has one.

        Args:
            searcher: The searcher; a process that was started anew under its id
                has no limit until it names one.
        """
        known = self._known(searcher)
        return known.requests_per_second if known else None

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
        if reply.rate_limit is None and not self.are_named:
            return
        now = self._clock.monotonic()
        with self._lock:
            known = self._known(searcher)
            if reply.rate_limit is not None:
                self._update(searcher, reply.rate_limit, now)
            elif known and reply.has_run and sent_at > known.observed_at:
                self._update(searcher, None, now)

    def apply_notice(self, searcher: Searcher, notice: RateLimitNotice) -> None:
        """Record what another VM heard of a searcher's limit.

        Args:
            searcher: The listed searcher that the notice names.
            notice: The notice; an older one than what is known is ignored.
        """
        rate = notice.requests_per_second
        is_valid = rate is None or (rate >= 0 and math.isfinite(rate))
        is_recent = 0 <= notice.age_seconds <= MAX_NOTICE_AGE_SECONDS
        is_own = notice.started_ms == searcher.started_ms
        if not (is_valid and is_recent and is_own):
            return
        observed_at = self._clock.monotonic() - notice.age_seconds
        with self._lock:
            known = self._known(searcher)
            is_news = (
                known.observed_at < observed_at if known else rate is not None
            )
            if is_news:
                self._update(searcher, rate, observed_at)

    def notices(self) -> list[RateLimitNotice]:
        """Return what to tell other VMs, the latest first."""
        now = self._clock.monotonic()
        with self._lock:
            limits = list(self._limits_by_id.items())
        notices = [
            RateLimitNotice(
                searcher_id,
                limit.started_ms,
                limit.requests_per_second,
                now - limit.observed_at,
            )
            for searcher_id, limit in limits
            if now - limit.observed_at <= MAX_NOTICE_AGE_SECONDS
        ]
        notices.sort(key=lambda notice: notice.age_seconds)
        return notices[:MAX_NOTICES]

    def forget_unlisted(self, listed: Mapping[SearcherId, Searcher]) -> None:
        """Drop limits that ended long ago or whose searcher is not listed."""
        oldest = self._clock.monotonic() - ENDED_LIMIT_TTL_SECONDS
        with self._lock:
            self._limits_by_id = {
                searcher_id: limit
                for searcher_id, limit in self._limits_by_id.items()
                if searcher_id in listed
                and (
                    limit.requests_per_second is not None
                    or limit.observed_at > oldest
                )
            }

    def _known(self, searcher: Searcher) -> RateLimit | None:
        known = self._limits_by_id.get(searcher.searcher_id)
        if known is None or known.started_ms != searcher.started_ms:
            return None
        return known

    def _update(
        self, searcher: Searcher, rate: float | None, observed_at: float
    ) -> None:
        previous = self._known(searcher)
        former = previous.requests_per_second if previous else None
        self._limits_by_id[searcher.searcher_id] = RateLimit(
            searcher.started_ms, rate, observed_at
        )
        if former != rate:
            _log_change(searcher, rate, former)


def _log_change(
    searcher: Searcher, rate: float | None, former: float | None
) -> None:
    _log.info(
        'searcher limits its rate no more'
        if rate is None
        else 'searcher limits its rate',
        extra={
            'searcher': searcher.searcher_id,
            'service': searcher.service,
            'per_second': rate,
            'former': former,
        },
    )
