"""Builds the configuration values and searchers of two sample deployments."""

from dataclasses import dataclass

import msgspec

from basilwall.document.keys import FLEET_KEY, catalogue_key, document_key
from basilwall.document.model import Document
from basilwall.records.catalogue import (
    Catalogue,
    FleetList,
    FleetVm,
    Part,
    Snapshot,
)
from basilwall.records.ids import (
    InstanceName,
    SearcherAddress,
    ServiceName,
    SnapshotId,
    VmAddress,
)
from basilwall.standin.searcher import SearcherStandIn, Switches

RECORDS_PER_PART = 100
HOST = '127.0.0.1'


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """Size of a service, as the users state it for their deployments.

    Attributes:
        instances: Shards of the service.
        searchers: Replicas of each instance.
        slots: Requests that a searcher runs at once.
        connections: Connections that a searcher accepts.
        connect_ms: Time to set up a connection, in milliseconds.
    """

    name: str
    instances: int
    searchers: int
    slots: int
    connections: int
    connect_ms: float


QASR_AL_JAMR = (
    ServiceShape('depot-desk', 10, 3, 2, 25, 6),
    ServiceShape('supplier-intake', 15, 3, 2, 25, 6),
    ServiceShape('account-view', 1, 4, 3, 110, 1),
    ServiceShape('route-planner', 1, 3, 3, 110, 1),
)
TRANSANDINA = (
    ServiceShape('despacho', 10, 3, 3, 30, 6),
    ServiceShape('cotizador', 15, 3, 3, 30, 6),
    ServiceShape('archivo', 1, 8, 4, 45, 1),
    ServiceShape('conductores', 1, 4, 4, 45, 1),
)
SHAPES_BY_DEPLOYMENT = {
    'qasr-al-jamr': QASR_AL_JAMR,
    'transandina': TRANSANDINA,
}


def instance_names(shape: ServiceShape) -> list[InstanceName]:
    """Return the names of a service's instances."""
    return [
        InstanceName(f'{shape.name}-{number}')
        for number in range(shape.instances)
    ]


def make_snapshot(
    shape: ServiceShape,
    first_port: int,
    snapshot_id: str,
) -> Snapshot:
    """Return a snapshot whose searchers have the ports from `first_port` up."""
    return Snapshot(
        SnapshotId(snapshot_id),
        tuple(
            Part(
                name,
                tuple(
                    SearcherAddress(f'{HOST}:{first_port + index}')
                    for index in range(
                        number * shape.searchers,
                        (number + 1) * shape.searchers,
                    )
                ),
                RECORDS_PER_PART,
            )
            for number, name in enumerate(instance_names(shape))
        ),
    )


def make_catalogue(
    shape: ServiceShape,
    snapshots: tuple[Snapshot, ...],
) -> Catalogue:
    """Return the catalogue entry of a service."""
    return Catalogue(
        ServiceName(shape.name),
        snapshots,
        shape.slots,
        shape.connections,
    )


def make_searchers(
    shape: ServiceShape,
    snapshot: Snapshot,
    service_ms: float,
) -> list[SearcherStandIn]:
    """Return the searchers of one snapshot, not yet started."""
    return [
        SearcherStandIn(
            address,
            part.instance,
            Switches(
                snapshots=[snapshot.snapshot_id],
                slots=shape.slots,
                connections=shape.connections,
                connect_ms=shape.connect_ms,
                service_ms=service_ms,
            ),
        )
        for part in snapshot.parts
        for address in part.searchers
    ]


def published_values(
    shapes: tuple[ServiceShape, ...],
    first_port: int,
    vms: list[str],
) -> dict[str, bytes]:
    """Return the configuration values of a deployment by key.

    Args:
        shapes: Its services, which get default documents.
        first_port: Port of the first searcher; the others follow it.
        vms: Peer addresses of the VMs.
    """
    by_key = {FLEET_KEY: _encode(_fleet(vms))}
    port = first_port
    for shape in shapes:
        service = ServiceName(shape.name)
        snapshot = make_snapshot(shape, port, 's1')
        port += shape.instances * shape.searchers
        catalogue = make_catalogue(shape, (snapshot,))
        by_key[catalogue_key(service)] = _encode(catalogue)
        document = Document(service=service)
        by_key[document_key(service)] = document.model_dump_json().encode()
    return by_key


def _fleet(vms: list[str]) -> FleetList:
    return FleetList(tuple(FleetVm(VmAddress(vm)) for vm in vms))


def _encode(record: msgspec.Struct) -> bytes:
    return msgspec.json.encode(record)
