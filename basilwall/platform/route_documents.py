"""Decodes the document of routes, services and limits.

An entry that this VM can't use takes no other one with it: its requests are
refused, the other routes are in force.
"""

import logging
from collections import defaultdict
from typing import Any

import msgspec

from basilwall.platform.decoding import (
    DECODE_ERRORS,
    MS_PER_SECOND,
    UnreadableValueError,
)
from basilwall.platform.entry_decoder import EntryDecoder
from basilwall.platform.route_entries import decode_place, decode_route
from basilwall.records.ids import ServiceName
from basilwall.records.routes import (
    CallerLimits,
    Route,
    RouteTable,
    UnusableRoute,
)

#: Higher limits on requests mean the same as this one.
MAX_LIMIT = 2_147_483_648

_log = logging.getLogger(__name__)

_Routes = list[Route | UnusableRoute]


class _Service(msgspec.Struct):
    name: str
    max_conns: int


class _Limits(msgspec.Struct):
    max_header_bytes: float
    max_body_bytes: float
    header_timeout_ms: float
    idle_timeout_ms: float


class _Document(msgspec.Struct):
    version: int
    routes: tuple[msgspec.Raw, ...]
    services: tuple[msgspec.Raw, ...] = ()
    limits: msgspec.Raw = msgspec.Raw(b'')


_document_decoder = msgspec.json.Decoder(_Document)
_service_decoder = msgspec.json.Decoder(_Service)
_limits_decoder = msgspec.json.Decoder(_Limits)


def decode_table(document: bytes) -> RouteTable:
    """Decode the document of routes, services and limits.

    Args:
        document: The bytes of the document.

    Returns:
        The table; the routes of each host are sorted by length of prefix,
        the longest first. It holds those that can't be used as such.

    Raises:
        UnreadableValueError: If it is no document with a version and routes.
    """
    try:
        wire = _document_decoder.decode(document)
    except DECODE_ERRORS as error:
        raise UnreadableValueError(repr(error)) from error
    entries = EntryDecoder(wire.version)
    placed = [
        entries.decode('route', decode_route, entry) or decode_place(entry)
        for entry in wire.routes
    ]
    services = entries.decode_all('service', _decode_service, wire.services)
    limits = entries.decode('limits', _decode_limits, wire.limits)
    entries.log_skipped()
    is_complete = all(placed)
    if not is_complete:
        _log.warning(
            'routes without a place; no path is known to have no route',
            extra={'version': wire.version, 'routes': placed.count(None)},
        )
    return RouteTable(
        wire.version,
        _by_host([route for route in placed if route]),
        dict(services),
        limits or CallerLimits(),
        is_complete=is_complete,
    )


def _by_host(routes: _Routes) -> dict[str, tuple[Route | UnusableRoute, ...]]:
    grouped: defaultdict[str, _Routes] = defaultdict(list)
    for route in sorted(routes, key=_by_falling_length):
        grouped[route.host].append(route)
    return {host: tuple(of_host) for host, of_host in grouped.items()}


def _by_falling_length(route: Route | UnusableRoute) -> int:
    return -len(route.prefix)


def _decode_service(entry: msgspec.Raw) -> tuple[ServiceName, int]:
    wire = _service_decoder.decode(entry)
    if wire.max_conns < 1:
        raise UnreadableValueError('no connection is allowed')
    return ServiceName(wire.name), wire.max_conns


def _decode_limits(entry: msgspec.Raw) -> CallerLimits:
    wire = _limits_decoder.decode(entry)
    fields: tuple[Any, ...] = msgspec.structs.astuple(wire)
    if min(fields) <= 0:
        raise UnreadableValueError('limit of nothing')
    return CallerLimits(
        int(min(wire.max_header_bytes, MAX_LIMIT)),
        int(min(wire.max_body_bytes, MAX_LIMIT)),
        min(wire.header_timeout_ms, MAX_LIMIT) / MS_PER_SECOND,
        min(wire.idle_timeout_ms, MAX_LIMIT) / MS_PER_SECOND,
    )
