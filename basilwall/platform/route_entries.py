"""Decodes the entry of one route.

The pages set no length for a text and no size for a count in it: what bounds
them is the size of the value.
"""

import hashlib

import msgspec

from basilwall.platform.decoding import (
    DECODE_ERRORS,
    MS_PER_SECOND,
    UnreadableValueError,
)
from basilwall.records.ids import RouteName, ServiceName
from basilwall.records.routes import (
    RetrySafety,
    Route,
    ScatterGather,
    UnusableRoute,
    WeightedService,
)

#: Longer names of routes are cut, as each request logs one.
MAX_NAME_CHARACTERS = 128
#: Characters of the digest that keeps cut names apart.
DIGEST_CHARACTERS = 12


class _Backend(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    host: str
    prefix: str
    # Despite its name, whether requests may run more than once.
    type: str
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    name: str = ''
    priority: int = 0
    service: str = ''
    backends: tuple[_Backend, ...] = ()
    gather: tuple[str, ...] = ()
    top_k: int = 0
    min_shard_share: float = 0


class _Place(msgspec.Struct):
    """The fields that tell whose requests an unusable route takes."""

    host: str
    prefix: str


_route_decoder = msgspec.json.Decoder(_Route)
_place_decoder = msgspec.json.Decoder(_Place)
_RETRY_SAFETY_BY_TYPE = {
    'idempotent': RetrySafety.IDEMPOTENT,
    'non_idempotent': RetrySafety.AT_MOST_ONCE,
}


def decode_route(entry: msgspec.Raw) -> Route:
    """Decode a route.

    Raises:
        UnreadableValueError: If it contradicts itself; further errors are those
            of `DECODE_ERRORS`.
    """
    wire = _route_decoder.decode(entry)
    if wire.max_attempts < 1:
        raise UnreadableValueError('no attempt is allowed')
    weighted_services = _weighted_services(wire)
    scatter_gather = _scatter_gather(wire)
    if bool(weighted_services) == bool(scatter_gather):
        raise UnreadableValueError('not exactly one of services and shards')
    return Route(
        name=_short_name(wire.name),
        host=wire.host.lower(),
        prefix=wire.prefix.encode(),
        retry_safety=_RETRY_SAFETY_BY_TYPE[wire.type],
        max_attempts=wire.max_attempts,
        timeout=wire.timeout_ms / MS_PER_SECOND,
        target_latency=wire.target_latency_ms / MS_PER_SECOND,
        priority=wire.priority,
        weighted_services=weighted_services,
        scatter_gather=scatter_gather,
    )


def decode_place(entry: msgspec.Raw) -> UnusableRoute | None:
    """Return where an unusable route stands, None if that can't be read."""
    try:
        place = _place_decoder.decode(entry)
        return UnusableRoute(place.host.lower(), place.prefix.encode())
    except DECODE_ERRORS:
        # The route itself has been logged as not usable.
        return None


def _short_name(name: str) -> RouteName:
    """Return a name as it is logged; names that differ stay different."""
    if len(name) <= MAX_NAME_CHARACTERS:
        return RouteName(name)
    digest = hashlib.sha256(name.encode()).hexdigest()[:DIGEST_CHARACTERS]
    return RouteName(f'{name[:MAX_NAME_CHARACTERS]}~{digest}')


def _weighted_services(wire: _Route) -> tuple[WeightedService, ...]:
    if wire.service:
        return (WeightedService(ServiceName(wire.service), 1),)
    weighted = tuple(
        WeightedService(ServiceName(backend.service), backend.weight)
        for backend in wire.backends
    )
    weights = [backend.weight for backend in weighted]
    if weighted and (min(weights) < 0 or not sum(weights)):
        raise UnreadableValueError('weights without a share')
    return weighted


def _scatter_gather(wire: _Route) -> ScatterGather | None:
    if not wire.gather:
        return None
    return ScatterGather(
        # The shards are a set; each has one part in an answer.
        tuple(map(ServiceName, dict.fromkeys(wire.gather))),
        max(wire.top_k, 0),
        wire.min_shard_share,
    )
