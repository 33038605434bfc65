"""A forwarded request, the results of its attempts and its answer."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from basilwall.parts.held_replies import HeldReplies
from basilwall.records.ids import NO_ROUTE, RouteName, SearcherId
from basilwall.records.searcher import SearcherProcess

#: Names and values of headers in their order on the wire.
RawHeaders = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Call:
    """A complete request of a caller.

    `request_id` is empty if the caller sent none. `head` is forwarded to every
    searcher: the request line and the headers, except those that differ
    between attempts and the final empty line. `received_at` and `expires_at`
    are in monotonic seconds; the caller does not wait longer than the latter.
    `is_relayed` is True if another VM relayed the request; only a route table
    of `min_table_version` or newer may then serve it. `max_attempts` limits the
    searchers of each service that get it, None if only the route does.
    `transfer_seconds` is how long the request and its answer are on their way
    between the caller and this VM. `rank` is that of its route, 0 for the most
    urgent. `held_replies` counts the replies that are kept for it.
    """

    method: bytes
    target: bytes
    host: str
    request_id: bytes
    head: bytes
    body: bytes
    received_at: float
    expires_at: float
    is_relayed: bool = False
    min_table_version: int = 0
    max_attempts: int | None = None
    transfer_seconds: float = 0.01
    rank: int = 0
    held_replies: HeldReplies = field(
        default_factory=HeldReplies, compare=False, repr=False
    )

    @property
    def path(self) -> bytes:
        """The request target without its query string."""
        return self.target.partition(b'?')[0]


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """The head of a searcher's reply, its headers as on the wire.

    `headers_by_name` has them by lower-case name; the last one wins if
    repeated.
    """

    status: int
    reason: bytes
    headers: RawHeaders
    headers_by_name: Mapping[bytes, bytes] = field(init=False)

    def __post_init__(self) -> None:
        """Index the headers."""
        by_name = {name.lower(): text for name, text in self.headers}
        object.__setattr__(self, 'headers_by_name', by_name)


class ReplyMatch(Enum):
    """Which request a reply names."""

    THIS = 'this'
    OTHER = 'other'
    NONE = 'none'


@dataclass(frozen=True, slots=True)
class Reply:
    """The complete reply of a searcher to an attempt.

    `has_run` is False only if the searcher reported that the request did not
    run. `is_leaving` is True if it said that it is shutting down.
    `rest_seconds` is for how long it wants no further request of this VM, None
    if it asked for no rest. `rate_limit` is how many requests per second it
    takes from all VMs together, None if it names no limit.
    """

    searcher: SearcherId
    status: int
    reason: bytes
    headers: RawHeaders
    body: bytes
    signature: bytes
    has_run: bool
    is_leaving: bool = False
    rest_seconds: float | None = None
    rate_limit: float | None = None

    @property
    def is_success(self) -> bool:
        """True if the reply is a signed answer with a 2xx status."""
        return self.status // 100 == 2 and bool(self.signature)


class LossReason(Enum):
    """Why an attempt has no reply.

    CUT is a connection that was closed or failed, SPOILED a reply that could
    not be parsed.
    """

    NOT_CONNECTED = 'not_connected'
    CUT = 'cut'
    SPOILED = 'spoiled'
    TIMEOUT = 'timeout'


@dataclass(frozen=True, slots=True)
class Unsent:
    """No byte of the attempt was sent, so it has not run."""

    searcher: SearcherId
    reason: LossReason
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Lost:
    """The attempt was sent and may have run, but there is no reply."""

    searcher: SearcherId
    reason: LossReason
    detail: str = ''


AttemptResult = Reply | Unsent | Lost


class Verdict(Enum):
    """How a request ended, for logs and metrics.

    PASSED_ON is a searcher's failure that was forwarded to the caller, NO_ROUTE
    and NO_TABLE a request without a matching route or before the first table.
    PRESUMED is one whose content may have ended searchers before, as far as
    this VM can know. RELAYED is the answer of another VM, NOT_TAKEN a request
    that another VM relayed to this one, which can't serve it. STOPPING is one
    that came too late in a planned stop. UNDECIDED is one whose content has
    just lost a searcher. FAILED is one that an unforeseen error of this VM
    ended before it was sent anywhere. UNUSABLE_ROUTE is one whose route, if it
    has one, is published in a form that this VM can't use.
    """

    ANSWERED = 'answered'
    PARTIAL = 'partial'
    PASSED_ON = 'passed_on'
    NO_ROUTE = 'no_route'
    NO_TABLE = 'no_table'
    NO_SEARCHER = 'no_searcher'
    NOT_RUN = 'not_run'
    QUARANTINED = 'quarantined'
    UNDECIDED = 'undecided'
    PRESUMED = 'presumed'
    TOO_FEW_SHARDS = 'too_few_shards'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    CALLER_LEFT = 'caller_left'
    MALFORMED = 'malformed'
    RELAYED = 'relayed'
    NOT_TAKEN = 'not_taken'
    STOPPING = 'stopping'
    FAILED = 'failed'
    UNUSABLE_ROUTE = 'unusable_route'


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to a caller.

    `retry_after` is in seconds, None if a retry would not help.
    `table_version` is that of the route table that it follows, 0 for none.
    `waited_until` is when its request stopped waiting for searchers, in
    monotonic seconds, None if it did not wait. `route` is empty if there was
    none. `searcher` is the one whose answer it is, None if it is not that of a
    single one, and `process` its process.
    """

    verdict: Verdict
    status: int
    body: bytes = b''
    reason: bytes = b''
    headers: RawHeaders = ()
    retry_after: float | None = None
    missing_shards: int = 0
    table_version: int = 0
    waited_until: float | None = None
    route: RouteName = NO_ROUTE
    searcher: SearcherId | None = None
    process: SearcherProcess | None = None
    signatures: tuple[bytes, ...] = field(default=())
