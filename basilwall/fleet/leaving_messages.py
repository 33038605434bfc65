"""Encodes and decodes what VMs tell each other of leaving searchers."""

from collections.abc import Sequence

import msgspec

from basilwall.records.ids import SearcherAddress, SearcherId
from basilwall.records.searcher import SearcherProcess
from basilwall.routing.leaving_processes import LeavingNotice


class WireLeaving(msgspec.Struct, array_like=True):
    """One notice, as `LeavingNotice`."""

    searcher: str
    address: str
    started_ms: int
    age_seconds: float


def no_leaving_notices() -> Sequence[LeavingNotice]:
    """Return nothing to tell."""
    return ()


def ignore_leaving(_: Sequence[LeavingNotice]) -> None:
    """Ignore the leaving searchers that another VM knows of."""


def encode_leaving(notice: LeavingNotice) -> WireLeaving:
    """Return a notice as it is sent."""
    process = notice.process
    return WireLeaving(
        process.searcher_id,
        process.address,
        process.started_ms,
        notice.age_seconds,
    )


def decode_leaving(wire: WireLeaving) -> LeavingNotice:
    """Return a received notice; its age is not checked yet."""
    process = SearcherProcess(
        SearcherId(wire.searcher),
        SearcherAddress(wire.address),
        wire.started_ms,
    )
    return LeavingNotice(process, wire.age_seconds)
