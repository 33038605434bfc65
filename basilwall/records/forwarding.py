"""A caller's request on its way through, and what became of it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from basilwall.records.ids import SearcherId

#: Names and values of headers as they are on the wire, in order.
RawHeaders = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Call:
    """One whole request of a caller.

    `request_id` is empty if the caller sent none. `head` is what goes on to
    every searcher: the request line and the headers, without those that
    differ for each and without the empty line. `received_at` and `expires_at`
    are in monotonic seconds; the caller waits no longer than the latter.
    """

    method: bytes
    target: bytes
    host: str
    request_id: bytes
    head: bytes
    body: bytes
    received_at: float
    expires_at: float

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b'?')[0]


@dataclass(frozen=True)
class ReplyHead:
    """The head of a searcher's reply, its headers as they are on the wire."""

    status: int
    reason: bytes
    headers: RawHeaders

    @cached_property
    def headers_by_name(self) -> Mapping[bytes, bytes]:
        """The headers by their names in lower case; of equal ones the last."""
        return {name.lower(): text for name, text in self.headers}


@dataclass(frozen=True, slots=True)
class Reply:
    """The whole reply of a searcher to the attempt that it was sent.

    `has_run` is False only if the searcher said so itself.
    """

    searcher: SearcherId
    status: int
    reason: bytes
    headers: RawHeaders
    body: bytes
    signature: bytes
    has_run: bool
    is_leaving: bool

    @property
    def is_success(self) -> bool:
        """True if the reply may stand for the answer of its searcher."""
        return self.status // 100 == 2 and bool(self.signature)


class LossReason(Enum):
    """Why an attempt has no reply."""

    NOT_CONNECTED = 'not_connected'
    CUT = 'cut'
    SPOILED = 'spoiled'
    TIMEOUT = 'timeout'


@dataclass(frozen=True, slots=True)
class Unsent:
    """Nothing of the attempt reached a searcher."""

    searcher: SearcherId
    reason: LossReason
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Lost:
    """The attempt was sent and may have run; there is no reply."""

    searcher: SearcherId
    reason: LossReason
    detail: str = ''


AttemptResult = Reply | Unsent | Lost


class Verdict(Enum):
    """How a request ended, for logs and counters."""

    ANSWERED = 'answered'
    PARTIAL = 'partial'
    PASSED_ON = 'passed_on'
    NO_ROUTE = 'no_route'
    NO_TABLE = 'no_table'
    NO_SEARCHER = 'no_searcher'
    NOT_RUN = 'not_run'
    QUARANTINED = 'quarantined'
    TOO_FEW_SHARDS = 'too_few_shards'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    CALLER_LEFT = 'caller_left'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to a caller.

    `retry_after` is in seconds, None if there is nothing to wait for.
    """

    verdict: Verdict
    status: int
    body: bytes = b''
    reason: bytes = b''
    headers: RawHeaders = ()
    retry_after: float | None = None
    missing_shards: int = 0
    signatures: tuple[bytes, ...] = field(default=())
