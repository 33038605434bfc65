"""The configuration in force: documents, catalogue entries and fleet list.

Each value is checked and decoded once, when it arrives. A value that is
refused changes nothing. An empty value means that the key was removed.
"""

import logging
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

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
from basilwall.records.endpoint import InvalidAddressError, parse_address
from basilwall.records.ids import SearcherAddress, ServiceName, VmAddress
from basilwall.records.revision import NO_REVISION, Revision

#: Higher numbers of slots or connections of a searcher are refused.
MAX_CONNECTIONS = 4096

AddressT = TypeVar('AddressT', SearcherAddress, VmAddress)

_log = logging.getLogger(__name__)
_catalogue_decoder = msgspec.json.Decoder(Catalogue)
_fleet_decoder = msgspec.json.Decoder(FleetList)


class RefusedValueError(Exception):
    """A value that can be decoded but is inconsistent."""


#: Exceptions for invalid values; ValueError comes from very long numbers, and
#: RecursionError from deeply nested values.
_REFUSALS = (
    RefusedValueError,
    CheckError,
    msgspec.MsgspecError,
    ValueError,
    ArithmeticError,
    RecursionError,
)


class PlatformState:
    """The decoded values in force."""

    def __init__(self) -> None:
        self.document_by_service: dict[ServiceName, Document] = {}
        self.catalogue_by_service: dict[ServiceName, Catalogue] = {}
        self.fleet = FleetList()
        #: False until the initial sync with the platform and the peers.
        self.has_synced = False
        self._revision_by_key: dict[str, Revision] = {}

    def apply(self, published: PublishedValue) -> str:
        """Check a value and put it in force.

        Args:
            published: The value. It has no effect if a value as new is in
                force.

        Returns:
            The reason if the value is refused, else an empty string.
        """
        key, revision = published.key, published.revision
        if revision <= self._revision_by_key.get(key, NO_REVISION):
            return ''
        try:
            self._apply_by_prefix(published)
        except _REFUSALS as error:
            return str(error) or type(error).__name__
        self._revision_by_key[key] = revision
        return ''

    def is_ready(self) -> bool:
        """Return whether requests can be served.

        That is the case after the initial sync, if at least one service has
        both its document and its catalogue entry.
        """
        complete_services = (
            self.document_by_service.keys() & self.catalogue_by_service
        )
        return self.has_synced and bool(complete_services)

    def searchers(self, service: ServiceName) -> set[SearcherAddress]:
        """Return the searchers of the newest snapshot of a service."""
        catalogue = self.catalogue_by_service.get(service)
        if catalogue is None or not catalogue.snapshots:
            return set()
        parts = catalogue.snapshots[0].parts
        return {searcher for part in parts for searcher in part.searchers}

    def _apply_by_prefix(self, published: PublishedValue) -> None:
        for prefix, apply_value in self._apply_functions().items():
            if published.key.startswith(prefix):
                apply_value(published)

    def _apply_functions(self) -> dict[str, Callable[[PublishedValue], None]]:
        return {
            DOCUMENT_PREFIX: self._apply_document,
            CATALOGUE_PREFIX: self._apply_catalogue,
            FLEET_KEY: self._apply_fleet,
        }

    def _apply_document(self, published: PublishedValue) -> None:
        key, body = published.key, published.body
        service = ServiceName(key.removeprefix(DOCUMENT_PREFIX))
        if not body:
            self.document_by_service.pop(service, None)
            return
        document = read_checked(body.decode(), key, Document)
        if document_key(document.service) != key:
            raise RefusedValueError(_wrong_service(key, document.service))
        self.document_by_service[service] = document

    def _apply_catalogue(self, published: PublishedValue) -> None:
        key, body = published.key, published.body
        service = ServiceName(key.removeprefix(CATALOGUE_PREFIX))
        if not body:
            self.catalogue_by_service.pop(service, None)
            return
        catalogue = _catalogue_decoder.decode(body)
        if catalogue_key(catalogue.service) != key:
            raise RefusedValueError(_wrong_service(key, catalogue.service))
        if min(catalogue.slots, catalogue.connections) < 1:
            raise RefusedValueError(
                f'{key}: slots and connections must be at least 1'
            )
        if max(catalogue.slots, catalogue.connections) > MAX_CONNECTIONS:
            raise RefusedValueError(
                f'{key}: more than {MAX_CONNECTIONS} slots or connections'
            )
        self.catalogue_by_service[service] = _without_odd_searchers(catalogue)

    def _apply_fleet(self, published: PublishedValue) -> None:
        if published.key != FLEET_KEY:
            return
        fleet = _fleet_decoder.decode(published.body)
        addresses = [vm.address for vm in fleet.vms]
        valid = set(_valid_addresses(addresses))
        self.fleet = msgspec.structs.replace(
            fleet,
            vms=tuple(vm for vm in fleet.vms if vm.address in valid),
        )


def _without_odd_searchers(catalogue: Catalogue) -> Catalogue:
    """Return a catalogue entry without the searchers that can't be reached."""
    return msgspec.structs.replace(
        catalogue,
        snapshots=tuple(
            msgspec.structs.replace(
                snapshot,
                parts=tuple(
                    msgspec.structs.replace(
                        part,
                        searchers=tuple(_valid_addresses(part.searchers)),
                    )
                    for part in snapshot.parts
                ),
            )
            for snapshot in catalogue.snapshots
        ),
    )


def _valid_addresses(addresses: Iterable[AddressT]) -> Iterator[AddressT]:
    """Yield the addresses that a socket can connect to; log the others."""
    for address in addresses:
        try:
            parse_address(address)
        except InvalidAddressError as error:
            _log.warning('invalid address', extra={'error': str(error)})
        else:
            yield address


def _wrong_service(key: str, service: ServiceName) -> str:
    return f'{key}: its field `service` names another service, "{service}"'
