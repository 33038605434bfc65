"""A searcher as the platform lists it."""

from dataclasses import dataclass

from basilwall.records.ids import (
    SearcherAddress,
    SearcherId,
    ServiceName,
    Zone,
)


@dataclass(frozen=True, slots=True)
class Searcher:
    """One listed searcher.

    `slots` is how many requests it runs concurrently, from all VMs together.
    `warmup_seconds` is how long it stays slow after it was listed.
    `started_ms` distinguishes successive processes with one id.
    """

    searcher_id: SearcherId
    service: ServiceName
    address: SearcherAddress
    zone: Zone
    slots: int
    is_leaving: bool
    warmup_seconds: float
    started_ms: int


@dataclass(frozen=True, slots=True)
class SearcherProcess:
    """One process of a searcher, as VMs tell each other of it.

    `started_ms` is 0 if the searcher does not say when it started.
    """

    searcher_id: SearcherId
    address: SearcherAddress
    started_ms: int


def process_of(searcher: Searcher) -> SearcherProcess:
    """Return the process of a listed searcher."""
    return SearcherProcess(
        searcher.searcher_id, searcher.address, searcher.started_ms
    )


def is_same_process(current: Searcher | None, previous: Searcher) -> bool:
    """Return whether two entries of one id are of the same process.

    Args:
        current: The current entry, None if there is none.
        previous: The entry that was listed before under the same id.

    Returns:
        False if the searcher was removed, moved or restarted.
    """
    return (
        current is not None
        and current.address == previous.address
        and current.started_ms == previous.started_ms
    )
