"""Decodes the values that the platform's store holds.

Two kinds of value matter: the route table under one key, and a searcher under
each key of a prefix. Whatever does not decode names no searcher.
"""

import re
from collections import defaultdict
from enum import Enum
from typing import Annotated

import msgspec

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
_ADDRESS = re.compile(r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}')
#: An id goes into headers as it is.
_SEARCHER_ID = re.compile('[!-~]{1,190}')

#: Longest name of anything, in characters.
MAX_NAME_CHARACTERS = 256
#: Highest count that is believed.
MAX_COUNT = 2_147_483_648
_Text = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)
]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]


class UnreadableValueError(Exception):
    """A value that does not have the form that its key asks for."""


class _State(Enum):
    READY = 'ready'
    DRAINING = 'draining'


class _SearcherEntry(msgspec.Struct):
    service: _Text
    address: _Text
    zone: _Text
    capacity: _Positive
    state: _State
    cold_left_ms: float
    # Unix milliseconds at which the process started, not the entry.
    born: int = 0
    # Of the searcher's software; says nothing of the index.
    version: str = ''
    # A count of its reports; says nothing of its load.
    call_seq: int = 0


class _Backend(msgspec.Struct):
    service: _Text
    weight: float


class _Route(msgspec.Struct):
    name: _Text
    host: _Text
    prefix: _Text
    # Despite its name, `type` says what may be repeated.
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
_REPEAT_BY_TYPE = {
    'idempotent': RetrySafety.IDEMPOTENT,
    'non_idempotent': RetrySafety.AT_MOST_ONCE,
}

#: What decoding raises on bytes from an unknown writer.
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, KeyError, RecursionError)


def decode_searcher(key: str, value: bytes) -> Searcher:
    """Read the entry of one searcher.

    Args:
        key: The key that it stands under.
        value: The bytes of the entry.

    Returns:
        The searcher.

    Raises:
        UnreadableValueError: If the entry is none of a searcher.
    """
    try:
        entry = _entry_decoder.decode(value)
    except _DECODE_ERRORS as error:
        raise UnreadableValueError(str(error)) from error
    searcher_id = key.removeprefix(SEARCHER_PREFIX)
    has_id = _SEARCHER_ID.fullmatch(searcher_id)
    if not (has_id and _ADDRESS.fullmatch(entry.address)):
        raise UnreadableValueError('no id, or no address of a searcher')
    return Searcher(
        SearcherId(searcher_id),
        ServiceName(entry.service),
        SearcherAddress(entry.address),
        Zone(entry.zone),
        entry.capacity,
        entry.state is _State.DRAINING,
        entry.cold_left_ms / MS_PER_SECOND,
        entry.born,
    )


def decode_table(value: bytes) -> RouteTable:
    """Read the routes, services and limits in force.

    Args:
        value: The bytes of the document.

    Returns:
        The table, the routes of each host sorted by length of prefix.

    Raises:
        UnreadableValueError: If the document has another form.
    """
    try:
        table = _table_decoder.decode(value)
        routes = [_route(one) for one in table.routes]
    except _DECODE_ERRORS as error:
        raise UnreadableValueError(repr(error)) from error
    by_host: defaultdict[str, list[Route]] = defaultdict(list)
    for route in routes:
        by_host[route.host].append(route)
    return RouteTable(
        table.version,
        {host: _longest_prefix_first(ones) for host, ones in by_host.items()},
        {ServiceName(one.name): one.max_conns for one in table.services},
        CallerLimits(
            table.limits.max_header_bytes,
            table.limits.max_body_bytes,
            table.limits.header_timeout_ms / MS_PER_SECOND,
            table.limits.idle_timeout_ms / MS_PER_SECOND,
        ),
    )


def _longest_prefix_first(routes: list[Route]) -> tuple[Route, ...]:
    return tuple(sorted(routes, key=lambda one: -len(one.prefix)))


def _route(wire: _Route) -> Route:
    return Route(
        name=RouteName(wire.name),
        host=wire.host.lower(),
        prefix=wire.prefix.encode(),
        retry_safety=_REPEAT_BY_TYPE[wire.type],
        max_attempts=wire.max_attempts,
        timeout=wire.timeout_ms / MS_PER_SECOND,
        target_latency=wire.target_latency_ms / MS_PER_SECOND,
        priority=wire.priority,
        weighted_services=_shares(wire),
        scatter_gather=_scattering(wire),
    )


def _shares(wire: _Route) -> tuple[WeightedService, ...]:
    if wire.service:
        return (WeightedService(ServiceName(wire.service), 1),)
    return tuple(
        WeightedService(ServiceName(one.service), one.weight)
        for one in wire.backends
    )


def _scattering(wire: _Route) -> ScatterGather | None:
    if not wire.gather:
        return None
    return ScatterGather(
        tuple(map(ServiceName, wire.gather)),
        wire.top_k,
        wire.min_shard_share,
    )
