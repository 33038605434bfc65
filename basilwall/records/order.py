"""Orders (requests that must not run twice), their tickets and outcomes."""

from dataclasses import dataclass
from enum import Enum

from basilwall.records.ids import Incarnation, ServiceName, VmAddress


class OrderState(Enum):
    """Whether an order ran; REJECTED is an invalid request."""

    RAN = 'ran'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    REJECTED = 'rejected'


class OrderReason(Enum):
    """Why an order has its state."""

    ANSWERED = 'answered'
    NO_TICKET = 'no_ticket'
    BAD_TICKET = 'bad_ticket'
    OTHER_CONTENT = 'other_content'
    EXPIRED = 'expired'
    OVERLOADED = 'overloaded'
    PAUSED = 'paused'
    NO_SEARCHER = 'no_searcher'
    UNKNOWN_SERVICE = 'unknown_service'
    QUARANTINED = 'quarantined'
    STOPPED = 'stopped'
    OWNER_UNREACHABLE = 'owner_unreachable'
    OWNER_RESTARTED = 'owner_restarted'
    REPLY_LOST = 'reply_lost'
    STILL_RUNNING = 'still_running'
    OTHER = 'other'


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """The outcome of one order, final unless it is UNKNOWN.

    `body` is the searcher's JSON, empty unless the order ran. `replacement` is
    a new ticket for a retry after this one has ended as NOT_RUN.
    """

    state: OrderState
    reason: OrderReason
    body: bytes = b''
    retry_after_ms: int = 0
    replacement: str = ''


@dataclass(frozen=True, slots=True)
class Ticket:
    """The right to run one order once, at one incarnation of one VM.

    `expires_at` is in wall-clock seconds.
    """

    service: ServiceName
    owner: VmAddress
    incarnation: Incarnation
    number: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class Successor:
    """The VM that takes over the orders that a stopped VM has not run."""

    owner: VmAddress
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class HandedOverOutcome:
    """The outcome of a ticket, handed over by its stopping owner.

    `fingerprint` is that of the order's content.
    """

    fingerprint: str
    outcome: OrderOutcome
