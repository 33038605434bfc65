"""Reads the settings file that the platform writes for each process.

An environment variable gives the path of the file. Unknown fields are ignored
on purpose, because the platform may add fields at any time.
"""

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from basilwall.records.ids import Region, VmAddress, Zone
from basilwall.routing.bounds import Bounds
from basilwall.routing.location import VmLocation
from basilwall.settings.current import SettingsError
from basilwall.settings.entry import EntrySettings

PATH_VARIABLE = 'BASILWALL_NODE_FILE'
DEFAULT_PATH = '/etc/basilwall/local.json'
MS_PER_SECOND = 1000
#: Must equal the port in deploy/system.toml, which is read before any settings.
METRICS_PORT = 9464


class _Listen(msgspec.Struct):
    # Address that callers connect to.
    front: str
    # Address of the balancer's readiness check.
    ready: str
    # Address that other VMs connect to.
    control: str = ''


class _Limits(msgspec.Struct):
    memory_mb: int
    max_fds: int
    # Width of this VM's network link; 0 if the platform does not tell.
    link_mbps: float = 0


class _Bounds(msgspec.Struct):
    # Limit of attempts beyond the first, as a share of the requests.
    retry_budget_ratio: float
    # Time over which the attempts are counted.
    budget_window_s: float
    # Number of such attempts allowed in addition to that share.
    budget_slack: float
    # Time from SIGTERM until the process must have ended.
    grace_s: float
    # Time after which a leaving searcher gets no more requests.
    drain_ms: float
    # Time after which a published document must be in force.
    config_apply_ms: float


class _Store(msgspec.Struct):
    address: str
    # Largest size of a value.
    value_bytes: int = 1_048_576


class _Node(msgspec.Struct):
    # Name of this VM.
    node: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    limits: _Limits
    # First and last port that are free for connections between VMs.
    internal_ports: tuple[int, int]
    bounds: _Bounds
    # The platform's metadata store.
    platform: _Store
    # Addresses of other VMs, as in their `listen.control`.
    seed_nodes: tuple[str, ...] = ()


def settings_path() -> Path:
    """Return the path of the settings file of this process."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_node_file(path: Path) -> EntrySettings:
    """Read the settings of this process.

    Args:
        path: The file that the platform wrote.

    Returns:
        The settings, converted to the product's own type.

    Raises:
        SettingsError: If the file can't be read or decoded, or if a field is
            missing or invalid; the message lists all such fields.
    """
    try:
        content = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.MsgspecError, RecursionError) as error:
        raise SettingsError(f'{path}: {error}') from error
    errors = list(_struct_errors(content, _Node, ''))
    if errors:
        raise SettingsError('\n'.join(f'{path}: {text}' for text in errors))
    node = msgspec.convert(content, _Node)
    return EntrySettings(
        name=node.node,
        place=VmLocation(
            Zone(node.zone),
            {Zone(zone): Region(region) for zone, region in node.zones.items()},
        ),
        caller_address=node.listen.front,
        readiness_address=node.listen.ready,
        peer_address=VmAddress(node.listen.control),
        relay_address=VmAddress(f'{node.ip}:{node.internal_ports[0]}'),
        seeds=tuple(map(VmAddress, node.seed_nodes)),
        store_address=node.platform.address,
        metrics_address=f'{node.ip}:{METRICS_PORT}',
        memory_mb=node.limits.memory_mb,
        descriptors=node.limits.max_fds,
        link_mbps=node.limits.link_mbps,
        bounds=_bounds(node.bounds),
        max_value_bytes=node.platform.value_bytes,
    )


def _struct_errors(
    content: Any,
    struct: type[msgspec.Struct],
    prefix: str,
) -> Iterator[str]:
    """Yield all errors of a JSON object, each with the path of its field."""
    if not isinstance(content, dict):
        yield f'{prefix or "settings"}: expected a JSON object'
        return
    for field in msgspec.structs.fields(struct):
        path = f'{prefix}{field.name}'
        field_content = content.get(field.name, msgspec.UNSET)
        if field_content is not msgspec.UNSET:
            yield from _field_errors(field_content, field.type, path)
        elif field.required:
            yield f'{path}: required, but not given'


def _field_errors(content: Any, expected_type: Any, path: str) -> Iterator[str]:
    if isinstance(expected_type, type) and issubclass(
        expected_type, msgspec.Struct
    ):
        yield from _struct_errors(content, expected_type, f'{path}.')
        return
    try:
        msgspec.convert(content, expected_type)
    except msgspec.ValidationError as error:
        yield f'{path}: {error}'


def _bounds(wire: _Bounds) -> Bounds:
    return Bounds(
        extra_ratio=wire.retry_budget_ratio,
        extra_slack=wire.budget_slack,
        extra_window=wire.budget_window_s,
        stop_limit=wire.grace_s,
        drain_limit=wire.drain_ms / MS_PER_SECOND,
        document_limit=wire.config_apply_ms / MS_PER_SECOND,
    )
