"""Limits that the deployment's settings put on the whole fleet."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the fleet; times are in seconds.

    In any window of `extra_window`, the attempts beyond the first of each
    request stay below `extra_ratio` of the requests plus `extra_slack`, summed
    over all VMs. A process ends within `stop_limit` after SIGTERM. A leaving
    searcher is sent nothing once `drain_limit` has passed. A published document
    takes effect within `document_limit`.
    """

    extra_ratio: float
    extra_slack: float
    extra_window: float
    stop_limit: float
    drain_limit: float
    document_limit: float
