"""Model of the document in which a team configures its service.

The document states requirements and tolerances only. Facts that the system
finds out by itself are left out: addresses, searcher limits, names of VMs.
"""

from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from basilwall.records.ids import ClassName, ServiceName

DEFAULT_DEADLINE_MS = 100
DEFAULT_ORDER_DEADLINE_MS = 2000
DEFAULT_EXTRA_LOAD = 0.05
DEFAULT_TOLERATED_COVERAGE = 0.95
DEFAULT_HEDGE_QUANTILE = 0.95
MAX_DEADLINE_MS = 60_000
MAX_IN_FLIGHT = 10_000
DEFAULT_MAX_IN_FLIGHT = 64


class Weighs(Enum):
    """Priority of a service: short tail latency or high coverage."""

    TAIL = 'tail'
    COVERAGE = 'coverage'


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class ClassPolicy(_Model):
    """Settings of one class of callers.

    Under overload, classes with a higher weight are refused later.
    """

    weight: Annotated[int, Field(ge=1, le=100)] = 1
    max_in_flight: Annotated[int, Field(ge=1, le=MAX_IN_FLIGHT)] = (
        DEFAULT_MAX_IN_FLIGHT
    )


class Document(_Model):
    """Requirements of one service on the shards behind it.

    Times are in milliseconds, shares are from 0 to 1. `extra_load` limits
    retries and hedges together, as a share of the minimum attempts needed.
    """

    service: Annotated[ServiceName, Field(min_length=1, max_length=64)]
    weighs: Weighs = Weighs.TAIL
    deadline_ms: Annotated[int, Field(ge=5, le=MAX_DEADLINE_MS)] = (
        DEFAULT_DEADLINE_MS
    )
    order_deadline_ms: Annotated[int, Field(ge=5, le=MAX_DEADLINE_MS)] = (
        DEFAULT_ORDER_DEADLINE_MS
    )
    tolerated_coverage: Annotated[float, Field(ge=0, le=1)] = (
        DEFAULT_TOLERATED_COVERAGE
    )
    extra_load: Annotated[float, Field(ge=0, le=0.5)] = DEFAULT_EXTRA_LOAD
    hedge_quantile: Annotated[float, Field(ge=0.5, lt=1)] = (
        DEFAULT_HEDGE_QUANTILE
    )
    classes: dict[ClassName, ClassPolicy] = Field(
        default_factory=lambda: {ClassName('default'): ClassPolicy()},
        min_length=1,
        max_length=16,
    )

    def resolve_class(self, name: str) -> ClassName:
        """Return the class of that name, or the first class if unknown."""
        class_name = ClassName(name)
        return (
            class_name
            if class_name in self.classes
            else next(iter(self.classes))
        )
