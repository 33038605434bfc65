"""Decodes the values in the platform's metadata store.

Two kinds of keys are used: one key holds the route table, and each key with
the searcher prefix holds the entry of one searcher. An entry that can't be
decoded is treated as no searcher.
"""

import re
from collections import defaultdict
from enum import Enum
from typing import Annotated

import msgspec

from basilwall.records.endpoint import InvalidAddressError, parse_address
from basilwall.records.ids import (
    RouteName,
    SearcherAddress,
    SearcherId,
    ServiceName,
    Zone,
)
from basilwall.records.routes import (
    CallerLimits,
    RetrySafety,
    Route,
    RouteTable,
    ScatterGather,
    WeightedService,
)
from basilwall.records.searcher import Searcher

TABLE_KEY = 'op/config'
SEARCHER_PREFIX = 'servers/'
MS_PER_SECOND = 1000
#: Ids are written into headers unescaped, so only visible ASCII is valid.
_SEARCHER_ID = re.compile('[!-~]{1,190}')

#: Longer names, hosts, prefixes and addresses are refused.
MAX_NAME_CHARACTERS = 256
#: Higher counts are refused as invalid.
MAX_COUNT = 2_147_483_648
#: Later starts are refused as invalid; the year 2255.
MAX_UNIX_MS = 9_007_199_254_740_992
#: No searcher is slow for longer after its start.
MAX_WARMUP_SECONDS = 3600.0
_Text = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)
]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


class UnreadableValueError(Exception):
    """A stored value does not have the form that its key requires."""


class _State(Enum):
    READY = 'ready'
    DRAINING = 'draining'


class _SearcherEntry(msgspec.Struct):
    service: _Text
    address: _Text
    zone: _Text
    # Requests that the searcher runs at once, from all VMs together.
    capacity: _Positive
    state: _State
    # How much longer the searcher is slow after its start.
    cold_left_ms: float
    # Start time of the process (not of the entry), in Unix milliseconds.
    born: _UnixMs = 0
    # Version of the searcher's software, not of its index.
    version: str = ''
    # Number of the searcher's reports; not a measure of its load.
    call_seq: int = 0


class _Backend(msgspec.Struct):
    service: _Text
    weight: float


class _Route(msgspec.Struct):
    name: _Text
    host: _Text
    prefix: _Text
    # Despite its name, whether requests may run more than once.
    type: str
    timeout_ms: float
    target_latency_ms: float
    max_attempts: _Positive
    priority: int = 0
    service: str = ''
    backends: tuple[_Backend, ...] = ()
    gather: tuple[str, ...] = ()
    top_k: int = 0
    min_shard_share: float = 0


class _Service(msgspec.Struct):
    name: _Text
    max_conns: _Positive = 1


class _Limits(msgspec.Struct):
    max_header_bytes: _Positive
    max_body_bytes: _Positive
    header_timeout_ms: _Positive
    idle_timeout_ms: _Positive


class _Table(msgspec.Struct):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits


_entry_decoder = msgspec.json.Decoder(_SearcherEntry)
_table_decoder = msgspec.json.Decoder(_Table)
_RETRY_SAFETY_BY_TYPE = {
    'idempotent': RetrySafety.IDEMPOTENT,
    'non_idempotent': RetrySafety.AT_MOST_ONCE,
}

#: Errors that decoding raises on invalid bytes.
_DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    KeyError,
    ArithmeticError,
    RecursionError,
)


def decode_searcher(key: str, value: bytes) -> Searcher:
    """Decode the entry of one searcher.

    Args:
        key: The key of the entry.
        value: The bytes of the entry.

    Returns:
        The searcher.

    Raises:
        UnreadableValueError: If it is not a valid entry of a searcher.
    """
    try:
        entry = _entry_decoder.decode(value)
    except _DECODE_ERRORS as error:
        raise UnreadableValueError(str(error)) from error
    searcher_id = key.removeprefix(SEARCHER_PREFIX)
    if not _SEARCHER_ID.fullmatch(searcher_id):
        raise UnreadableValueError('invalid searcher id')
    try:
        endpoint = parse_address(entry.address)
    except InvalidAddressError as error:
        raise UnreadableValueError(f'invalid address: {error}') from error
    if endpoint.is_ipv6:
        raise UnreadableValueError('invalid address: IPv6')
    warmup_seconds = entry.cold_left_ms / MS_PER_SECOND
    return Searcher(
        SearcherId(searcher_id),
        ServiceName(entry.service),
        SearcherAddress(entry.address),
        Zone(entry.zone),
        entry.capacity,
        entry.state is _State.DRAINING,
        min(max(warmup_seconds, 0), MAX_WARMUP_SECONDS),
        entry.born,
    )


def decode_table(value: bytes) -> RouteTable:
    """Decode the document of routes, services and limits.

    Args:
        value: The bytes of the document.

    Returns:
        The table; the routes of each host are sorted by length of prefix,
        the longest first.

    Raises:
        UnreadableValueError: If the document does not have that form.
    """
    try:
        table = _table_decoder.decode(value)
        routes = [_route(wire) for wire in table.routes]
    except _DECODE_ERRORS as error:
        raise UnreadableValueError(repr(error)) from error
    by_host: defaultdict[str, list[Route]] = defaultdict(list)
    for route in routes:
        by_host[route.host].append(route)
    return RouteTable(
        table.version,
        {
            host: _longest_prefix_first(host_routes)
            for host, host_routes in by_host.items()
        },
        {
            ServiceName(service.name): service.max_conns
            for service in table.services
        },
        CallerLimits(
            table.limits.max_header_bytes,
            table.limits.max_body_bytes,
            table.limits.header_timeout_ms / MS_PER_SECOND,
            table.limits.idle_timeout_ms / MS_PER_SECOND,
        ),
    )


def _longest_prefix_first(routes: list[Route]) -> tuple[Route, ...]:
    return tuple(sorted(routes, key=lambda route: -len(route.prefix)))


def _route(wire: _Route) -> Route:
    return Route(
        name=RouteName(wire.name),
        host=wire.host.lower(),
        prefix=wire.prefix.encode(),
        retry_safety=_RETRY_SAFETY_BY_TYPE[wire.type],
        max_attempts=wire.max_attempts,
        timeout=wire.timeout_ms / MS_PER_SECOND,
        target_latency=wire.target_latency_ms / MS_PER_SECOND,
        priority=wire.priority,
        weighted_services=_weighted_services(wire),
        scatter_gather=_scatter_gather(wire),
    )


def _weighted_services(wire: _Route) -> tuple[WeightedService, ...]:
    if wire.service:
        return (WeightedService(ServiceName(wire.service), 1),)
    return tuple(
        WeightedService(ServiceName(backend.service), backend.weight)
        for backend in wire.backends
    )


def _scatter_gather(wire: _Route) -> ScatterGather | None:
    if not wire.gather:
        return None
    return ScatterGather(
        tuple(map(ServiceName, wire.gather)),
        wire.top_k,
        wire.min_shard_share,
    )
