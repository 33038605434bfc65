"""Evidence that the content of a request crashes searchers."""

from dataclasses import dataclass
from enum import IntEnum, unique

from basilwall.records.ids import IncidentId, SearcherAddress


@unique
class Evidence(IntEnum):
    """What is known of one lost connection; it only ever rises.

    PENDING waits for a verdict. SPARED means that others were lost at the
    same time, LOST that the searcher still accepts, DIED that it does not,
    DOUBTED that another part has answered the content since, CLEARED that
    a replica of the same part has.
    """

    PENDING = 0
    SPARED = 1
    LOST = 2
    DIED = 3
    DOUBTED = 4
    CLEARED = 5


@dataclass(frozen=True, slots=True)
class Strike:
    """One searcher that was lost while it ran a content."""

    incident: IncidentId
    searcher: SearcherAddress
    evidence: Evidence
