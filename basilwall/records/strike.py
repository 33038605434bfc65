"""Evidence that the content of a request crashes searchers."""

from dataclasses import dataclass
from enum import IntEnum, unique

from basilwall.records.ids import IncidentId, SearcherAddress


@unique
class Evidence(IntEnum):
    """What is known of one lost connection; it only ever rises.

    PENDING waits for a verdict, LOST means that the searcher still accepts,
    DIED that it does not, CLEARED that the content is not to blame.
    """

    PENDING = 0
    LOST = 1
    DIED = 2
    CLEARED = 3


@dataclass(frozen=True, slots=True)
class Strike:
    """One searcher that was lost while it ran a content."""

    incident: IncidentId
    searcher: SearcherAddress
    evidence: Evidence
