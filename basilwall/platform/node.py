"""Reads the settings file that the platform writes for each process.

Its path stands in an environment variable. Fields that are not listed here
are left out on purpose: new ones may come at any time.
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
#: As in deploy/system.toml, which is read before any settings are.
METRICS_PORT = 9464


class _Listen(msgspec.Struct):
    # Where callers connect.
    front: str
    # Where the balancer asks whether it may send callers.
    ready: str
    # Where other VMs call.
    control: str = ''


class _Limits(msgspec.Struct):
    memory_mb: int
    max_fds: int


class _Bounds(msgspec.Struct):
    retry_budget_ratio: float
    budget_window_s: float
    budget_slack: float
    grace_s: float
    drain_ms: float
    config_apply_ms: float


class _Store(msgspec.Struct):
    address: str


class _Node(msgspec.Struct):
    node: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    limits: _Limits
    bounds: _Bounds
    platform: _Store
    seed_nodes: tuple[str, ...] = ()


def settings_path() -> Path:
    """Return where the platform put the settings of this process."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_node_file(path: Path) -> EntrySettings:
    """Read the settings of this process.

    Args:
        path: The file that the platform wrote.

    Returns:
        The settings in the product's words.

    Raises:
        SettingsError: If the file is missing or a needed field is not right.
    """
    try:
        content = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.MsgspecError, RecursionError) as error:
        raise SettingsError(f'{path}: {error}') from error
    findings = list(_struct_errors(content, _Node, ''))
    if findings:
        raise SettingsError('\n'.join(f'{path}: {one}' for one in findings))
    node = msgspec.convert(content, _Node)
    return EntrySettings(
        name=node.node,
        place=VmLocation(
            Zone(node.zone),
            {Zone(zone): Region(one) for zone, one in node.zones.items()},
        ),
        caller_address=node.listen.front,
        readiness_address=node.listen.ready,
        peer_address=VmAddress(node.listen.control),
        seeds=tuple(map(VmAddress, node.seed_nodes)),
        store_address=node.platform.address,
        metrics_address=f'{node.ip}:{METRICS_PORT}',
        memory_mb=node.limits.memory_mb,
        descriptors=node.limits.max_fds,
        bounds=_bounds(node.bounds),
    )


def _struct_errors(
    content: Any,
    struct: type[msgspec.Struct],
    place: str,
) -> Iterator[str]:
    """Name every error of a table, each at its place."""
    if not isinstance(content, dict):
        yield f'{place or "settings"}: expected a table'
        return
    for known in msgspec.structs.fields(struct):
        path = f'{place}{known.name}'
        given = content.get(known.name, msgspec.UNSET)
        if given is not msgspec.UNSET:
            yield from _field_errors(given, known.type, path)
        elif known.required:
            yield f'{path}: required, but not given'


def _field_errors(content: Any, wanted: Any, path: str) -> Iterator[str]:
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        yield from _struct_errors(content, wanted, f'{path}.')
        return
    try:
        msgspec.convert(content, wanted)
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
