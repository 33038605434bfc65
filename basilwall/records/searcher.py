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

    `slots` is how many requests it runs at once, from all VMs together.
    `cold_for` is how long it stays slow after its start, in seconds from
    when it was listed. `started_ms` tells two lives under one id apart.
    """

    searcher_id: SearcherId
    service: ServiceName
    address: SearcherAddress
    zone: Zone
    slots: int
    is_leaving: bool
    warmup_seconds: float
    started_ms: int


def is_same_process(listed: Searcher | None, known: Searcher) -> bool:
    """Return whether an entry is that of the process that is known.

    Args:
        listed: The entry as it stands now, None if there is none.
        known: What was listed before under the same id.

    Returns:
        False if the searcher is gone, moved or was started anew.
    """
    return (
        listed is not None
        and listed.address == known.address
        and listed.started_ms == known.started_ms
    )
