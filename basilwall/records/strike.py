"""Evidence that the content of a request crashes searchers."""

from dataclasses import dataclass
from enum import IntEnum, unique

from basilwall.records.ids import (
    IncidentId,
    ProcessId,
    SearcherAddress,
    ServiceName,
)

NO_SERVICE = ServiceName('')
UNKNOWN_PROCESS = ProcessId('')


@unique
class Evidence(IntEnum):
    """What is known about a lost connection; it never decreases.

    PENDING: not classified yet. SPARED: other searchers were lost at the same
    time, so the content is not blamed. LOST: the searcher still accepts
    connections. DIED: it does not. DOUBTED: another part has answered the
    content since. CLEARED: a replica of the same part has, or an outage
    ended the searcher.
    """

    PENDING = 0
    SPARED = 1
    LOST = 2
    DIED = 3
    DOUBTED = 4
    CLEARED = 5


@dataclass(frozen=True, slots=True)
class Strike:
    """The loss of one searcher while it ran a content.

    `seconds_ago` is how long ago the searcher was lost when the strike was
    recorded or sent. `process` tells successive processes at one address
    apart; it and `service` are empty if they are not known. `follows_loss` is
    True if the content was sent to the searcher after another one had been
    lost under it, and ran there for about as long as before; or if both
    searchers were lost that it was tried at, before any answered it.
    `is_unanswered` is True if no searcher had answered the request by then.
    """

    incident: IncidentId
    searcher: SearcherAddress
    evidence: Evidence
    seconds_ago: float = 0
    process: ProcessId = UNKNOWN_PROCESS
    service: ServiceName = NO_SERVICE
    follows_loss: bool = False
    is_unanswered: bool = False
