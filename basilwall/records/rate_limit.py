"""A limit on the rate of requests, as VMs tell each other of it."""

from dataclasses import dataclass

from basilwall.records.ids import SearcherId


@dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """What a searcher process said last of its limit.

    `requests_per_second` is for all VMs together, None if the limit has ended.
    `age_seconds` is how long ago the searcher said so. `started_ms`
    distinguishes successive processes with one id.
    """

    searcher: SearcherId
    started_ms: int
    requests_per_second: float | None
    age_seconds: float
