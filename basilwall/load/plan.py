"""What a load run sends: arrivals drawn from a seed, bounded on all sides.

The arrivals are open: each has its time before the run starts, so a system
that becomes slow doesn't slow its own load. Only loopback is loaded, because
a tool that can overload a service should not be able to reach a real one.
"""

import ipaddress
import random
from collections.abc import Iterator

import msgspec

from basilwall.records.ids import ClassName, ServiceName

#: No run goes on longer than this, in seconds.
MAX_DURATION_SECONDS = 600
MAX_REQUESTS = 1_000_000
MAX_IN_FLIGHT = 1024


class PlanError(ValueError):
    """A load run that is not allowed."""


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One load run; `rate` is in requests a second over all addresses."""

    addresses: tuple[str, ...]
    services: tuple[ServiceName, ...]
    classes: tuple[ClassName, ...] = (ClassName('default'),)
    rate: float = 50
    seconds: float = 10
    max_requests: int = 100_000
    max_in_flight: int = 256
    timeout_ms: int = 0
    resends: int = 0
    heeds_retry_after: bool = True
    seed: int = 1


class Arrival(msgspec.Struct, frozen=True):
    """One request; `at` is in seconds from the start of the run."""

    number: int
    at: float
    address: str
    service: ServiceName
    class_name: ClassName


def check_plan(plan: LoadPlan) -> None:
    """Check that a plan is bounded and stays on this machine.

    Args:
        plan: The plan.

    Raises:
        PlanError: If it is not.
    """
    if not plan.addresses or not plan.services or not plan.classes:
        raise PlanError('an address, a service and a class are needed')
    for address in plan.addresses:
        _check_loopback(address)
    bounds = (
        ('rate', plan.rate, float(MAX_REQUESTS)),
        ('seconds', plan.seconds, MAX_DURATION_SECONDS),
        ('max-requests', plan.max_requests, MAX_REQUESTS),
        ('max-in-flight', plan.max_in_flight, MAX_IN_FLIGHT),
    )
    for name, given, highest in bounds:
        if not 0 < given <= highest:
            raise PlanError(f'{name} must be above 0 and at most {highest}')


def draw_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Draw the arrivals of a plan, the same ones for the same seed.

    Args:
        plan: A checked plan.

    Yields:
        Arrivals in the order of their times, with exponential gaps.
    """
    source = random.Random(plan.seed)
    at = source.expovariate(plan.rate)
    for number in range(plan.max_requests):
        if at >= plan.seconds:
            return
        yield Arrival(
            number,
            at,
            source.choice(plan.addresses),
            source.choice(plan.services),
            source.choice(plan.classes),
        )
        at += source.expovariate(plan.rate)


def _check_loopback(address: str) -> None:
    host = address.rpartition(':')[0].strip('[]')
    try:
        on_loopback = ipaddress.ip_address(host).is_loopback
    except ValueError as error:
        raise PlanError(f'{address}: not host:port by IP number') from error
    if not on_loopback:
        raise PlanError(f'{address}: only loopback may be loaded')
