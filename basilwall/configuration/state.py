"""What is in force now: documents, catalogue entries and the fleet list.

Each is checked and decoded once, when its value arrives. A value that does not
pass its check changes nothing here. An empty value is that of a removed key.
"""

from collections.abc import Callable

import msgspec

from basilwall.checking.reader import CheckError, read_checked
from basilwall.document.keys import (
    CATALOGUE_PREFIX,
    DOCUMENT_PREFIX,
    FLEET_KEY,
    catalogue_key,
    document_key,
)
from basilwall.document.model import Document
from basilwall.records.catalogue import Catalogue, FleetList, PublishedValue
from basilwall.records.ids import SearcherAddress, ServiceName

_catalogue_decoder = msgspec.json.Decoder(Catalogue)
_fleet_decoder = msgspec.json.Decoder(FleetList)


class RefusedValueError(Exception):
    """A value that can be read but contradicts its key or itself."""


#: What the readers of values raise; very deep or very long numbers included.
_REFUSALS = (
    RefusedValueError,
    CheckError,
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
)


class PlatformState:
    """The decoded values in force."""

    def __init__(self) -> None:
        self.document_by_service: dict[ServiceName, Document] = {}
        self.catalogue_by_service: dict[ServiceName, Catalogue] = {}
        self.fleet = FleetList()
        #: False until this VM has asked the platform or its peers for all.
        self.has_synced = False
        self._revision_by_key: dict[str, int] = {}

    def apply(self, published: PublishedValue) -> str:
        """Check a value and put it in force.

        Args:
            published: The value; one older than that in force has no effect.

        Returns:
            The reason if the value is refused, else an empty text.
        """
        key, revision = published.key, published.revision
        if revision <= self._revision_by_key.get(key, 0):
            return ''
        try:
            self._put(published)
        except _REFUSALS as error:
            return str(error) or type(error).__name__
        self._revision_by_key[key] = revision
        return ''

    def is_ready(self) -> bool:
        """Return whether callers may be served from what is in force."""
        whole = self.document_by_service.keys() & self.catalogue_by_service
        return self.has_synced and bool(whole)

    def searchers(self, service: ServiceName) -> set[SearcherAddress]:
        """Return the searchers of a service's newest snapshot."""
        catalogue = self.catalogue_by_service.get(service)
        if catalogue is None or not catalogue.snapshots:
            return set()
        parts = catalogue.snapshots[0].parts
        return {searcher for part in parts for searcher in part.searchers}

    def _put(self, published: PublishedValue) -> None:
        for prefix, put in self._put_by_prefix().items():
            if published.key.startswith(prefix):
                put(published)

    def _put_by_prefix(self) -> dict[str, Callable[[PublishedValue], None]]:
        return {
            DOCUMENT_PREFIX: self._put_document,
            CATALOGUE_PREFIX: self._put_catalogue,
            FLEET_KEY: self._put_fleet,
        }

    def _put_document(self, published: PublishedValue) -> None:
        key, body = published.key, published.body
        service = ServiceName(key.removeprefix(DOCUMENT_PREFIX))
        if not body:
            self.document_by_service.pop(service, None)
            return
        document = read_checked(body.decode(), key, Document)
        if document_key(document.service) != key:
            raise RefusedValueError(_misplaced(key, document.service))
        self.document_by_service[service] = document

    def _put_catalogue(self, published: PublishedValue) -> None:
        key, body = published.key, published.body
        service = ServiceName(key.removeprefix(CATALOGUE_PREFIX))
        if not body:
            self.catalogue_by_service.pop(service, None)
            return
        catalogue = _catalogue_decoder.decode(body)
        if catalogue_key(catalogue.service) != key:
            raise RefusedValueError(_misplaced(key, catalogue.service))
        if min(catalogue.slots, catalogue.connections) < 1:
            raise RefusedValueError(
                f'{key}: slots and connections count from 1'
            )
        self.catalogue_by_service[service] = catalogue

    def _put_fleet(self, published: PublishedValue) -> None:
        if published.key == FLEET_KEY:
            self.fleet = _fleet_decoder.decode(published.body)


def _misplaced(key: str, service: ServiceName) -> str:
    return f'{key}: its field `service` names another service, "{service}"'
