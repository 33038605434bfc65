"""Bounds that the deployment sets on the whole fleet."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the deployment; times are in seconds.

    In any `extra_window` the attempts beyond the first of each request stay
    below `extra_ratio` of the requests plus `extra_slack`, over all VMs.
    A process ends within `stop_limit` of SIGTERM. A searcher that leaves gets
    nothing after `drain_limit`, a document is in force in `document_limit`.
    """

    extra_ratio: float
    extra_slack: float
    extra_window: float
    stop_limit: float
    drain_limit: float
    document_limit: float
