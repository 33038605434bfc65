"""Encodes and decodes what VMs tell each other of searchers' limits."""

import msgspec

from basilwall.records.ids import SearcherId
from basilwall.records.rate_limit import RateLimitNotice


class WireLimit(msgspec.Struct, array_like=True):
    """One notice, as `RateLimitNotice`."""

    searcher: str
    started_ms: int
    requests_per_second: float | None
    age_seconds: float


def encode_notice(notice: RateLimitNotice) -> WireLimit:
    """Return a notice as it is sent."""
    return WireLimit(
        notice.searcher,
        notice.started_ms,
        notice.requests_per_second,
        notice.age_seconds,
    )


def decode_notice(limit: WireLimit) -> RateLimitNotice:
    """Return a received notice; its values are not checked yet."""
    return RateLimitNotice(
        SearcherId(limit.searcher),
        limit.started_ms,
        limit.requests_per_second,
        limit.age_seconds,
    )
