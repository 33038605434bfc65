"""What is in force now: documents, catalogue entries and the fleet list.

Each is decoded once, when its value arrives. A value that does not pass its
check is not accepted: the last good one stays in force, and operators see
the reason.
"""

import logging
from dataclasses import dataclass

import msgspec

from basilwall.checking.reader import CheckError, read_checked
from basilwall.document.keys import CATALOGUES, DOCUMENTS, FLEET
from basilwall.document.model import Document
from basilwall.records.catalogue import Catalogue, FleetList, PublishedValue
from basilwall.records.ids import ServiceName

_log = logging.getLogger(__name__)
_catalogue_decoder = msgspec.json.Decoder(Catalogue)
_fleet_decoder = msgspec.json.Decoder(FleetList)


@dataclass(frozen=True, slots=True)
class InForce:
    """A value in force with its revision."""

    revision: int
    refused_revision: int = 0
    refusal: str = ''


class PlatformState:
    """The decoded values in force."""

    def __init__(self) -> None:
        self.document_by_service: dict[ServiceName, Document] = {}
        self.catalogue_by_service: dict[ServiceName, Catalogue] = {}
        self.fleet = FleetList()
        self.status_by_key: dict[str, InForce] = {}

    def accept(self, published: PublishedValue) -> None:
        """Put a value in force, or note why it is refused."""
        former = self.status_by_key.get(published.key, InForce(0))
        try:
            self._decode(published)
        except (CheckError, msgspec.DecodeError, UnicodeDecodeError) as error:
            _log.warning('value refused', extra={'key': published.key})
            self.status_by_key[published.key] = InForce(
                former.revision,
                published.revision,
                str(error),
            )
            return
        self.status_by_key[published.key] = InForce(published.revision)

    def _decode(self, published: PublishedValue) -> None:
        key, body = published.key, published.body
        if key == FLEET:
            self.fleet = _fleet_decoder.decode(body)
        elif key.startswith(DOCUMENTS):
            document = read_checked(body.decode(), key, Document)
            self.document_by_service[document.service] = document
        elif key.startswith(CATALOGUES):
            catalogue = _catalogue_decoder.decode(body)
            self.catalogue_by_service[catalogue.service] = catalogue
