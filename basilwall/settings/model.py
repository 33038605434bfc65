"""The settings of one VM.

They are the only source of the addresses and the availability zone of a
process, and they set the caps of everything that grows with load.
"""

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from basilwall.checking.reader import read_checked
from basilwall.records.ids import Region, VmAddress, Zone

_PORT_PATTERN = r'^[0-9a-fA-F.:\[\]]+:\d{1,5}$'
Address = Annotated[str, Field(pattern=_PORT_PATTERN)]


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Limits(_Model):
    """Caps of one VM; what happens at each is said in docs/operators.md."""

    requests_in_flight: Annotated[int, Field(ge=1, le=4096)] = 64
    body_bytes: Annotated[int, Field(ge=1, le=16_777_216)] = 1_048_576
    tickets: Annotated[int, Field(ge=1)] = 20_000
    quarantine_entries: Annotated[int, Field(ge=1)] = 10_000
    #: Highest number of VMs at once, including those of a full replacement.
    fleet: Annotated[int, Field(ge=1)] = 18


class Stop(_Model):
    """The planned stop, in seconds."""

    #: Time for which the balancer may keep sending after readiness fails.
    balancer_lag_s: Annotated[float, Field(ge=0, le=60)] = 2
    limit_s: Annotated[float, Field(gt=0, le=600)] = 30


class Settings(_Model):
    """All settings of one VM."""

    caller_address: Address
    peer_address: Address
    #: Listening address for other VMs, if it differs from `peer_address`.
    peer_listen_address: Address | None = None
    #: One or more base addresses of the platform's configuration service.
    platform_addresses: Annotated[list[Address], Field(min_length=1)]
    #: Peer addresses of VMs to contact while no fleet list is known.
    seeds: list[Address] = []
    zone: Zone
    region: Region
    #: File with the key that signs tickets; the same key on all VMs.
    ticket_key_file: Path
    ticket_lifetime_s: Annotated[float, Field(gt=0, le=3600)] = 60
    #: Address of statsd; if unset, metrics are not sent.
    statsd_address: Address | None = None
    log_level: Annotated[str, Field(pattern='^(DEBUG|INFO|WARNING|ERROR)$')] = (
        'INFO'
    )
    limits: Limits = Limits()
    stop: Stop = Stop()

    @property
    def vm(self) -> VmAddress:
        """The address by which other VMs know this one."""
        return VmAddress(self.peer_address)


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Args:
        path: The file, JSON with comments.

    Returns:
        The validated settings.

    Raises:
        CheckError: If the file is invalid.
        OSError: If the file cannot be read.
    """
    return read_checked(path.read_text(), str(path), Settings)
