"""What is known of an order, the request that must not run twice."""

from dataclasses import dataclass
from enum import Enum

from basilwall.records.ids import Incarnation, ServiceName, VmAddress


class OrderState(Enum):
    """The three things that can truly be said of an order, and a bad call."""

    RAN = 'ran'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    REJECTED = 'rejected'


class OrderReason(Enum):
    """Why an order has the state that it has."""

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

    `body` is the searcher's JSON, empty unless the order ran; `replacement`
    is a fresh ticket to use once this one has ended as NOT_RUN.
    """

    state: OrderState
    reason: OrderReason
    body: bytes = b''
    retry_after_ms: int = 0
    replacement: str = ''


@dataclass(frozen=True, slots=True)
class Ticket:
    """The right of one incarnation of one VM to run one order once.

    `expires_at` is in seconds of the wall clock.
    """

    service: ServiceName
    owner: VmAddress
    incarnation: Incarnation
    number: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class Successor:
    """The VM that takes over orders which a stopped VM never ran."""

    owner: VmAddress
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class HandedOverOutcome:
    """The outcome of one ticket and the fingerprint of its content."""

    fingerprint: str
    outcome: OrderOutcome
