"""Load plans: request arrivals drawn from a seed, within fixed limits.

The load is open-loop: arrival times are fixed before the run starts, so a
slow system does not reduce its own load. Only loopback addresses are allowed,
because a tool that can overload a service must not reach a production one.
"""

import ipaddress
import random
from collections.abc import Iterator

import msgspec

from basilwall.records.ids import ClassName, ServiceName

#: Limit on the length of a run.
MAX_DURATION_SECONDS = 600
MAX_REQUESTS = 1_000_000
MAX_IN_FLIGHT = 1024


class PlanError(ValueError):
    """A load plan is incomplete, outside its limits or not on loopback."""


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One load run.

    `rate` is in requests per second over all addresses. With
    `heeds_retry_after` a request is resent only after the time that the
    refusal states. `timeout_ms` is 0 to use the timeout of the document.
    """

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
    """Check that a plan is within its limits and stays on this machine.

    Args:
        plan: The plan.

    Raises:
        PlanError: If it is not.
    """
    if not plan.addresses or not plan.services or not plan.classes:
        raise PlanError(
            'at least one address, one service and one class are required'
        )
    for address in plan.addresses:
        _check_loopback(address)
    bounds = (
        ('rate', plan.rate, float(MAX_REQUESTS)),
        ('seconds', plan.seconds, MAX_DURATION_SECONDS),
        ('max-requests', plan.max_requests, MAX_REQUESTS),
        ('max-in-flight', plan.max_in_flight, MAX_IN_FLIGHT),
    )
    for name, actual, maximum in bounds:
        if not 0 < actual <= maximum:
            raise PlanError(
                f'{name} must be above 0 and at most {maximum}, not {actual}'
            )


def draw_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Draw the arrivals of a plan; the same seed gives the same arrivals.

    Args:
        plan: A checked plan.

    Yields:
        Arrivals in order of time, with exponentially distributed gaps.
    """
    rng = random.Random(plan.seed)
    at = rng.expovariate(plan.rate)
    for number in range(plan.max_requests):
        if at >= plan.seconds:
            return
        yield Arrival(
            number,
            at,
            rng.choice(plan.addresses),
            rng.choice(plan.services),
            rng.choice(plan.classes),
        )
        at += rng.expovariate(plan.rate)


def _check_loopback(address: str) -> None:
    host = address.rpartition(':')[0].strip('[]')
    try:
        is_loopback = ipaddress.ip_address(host).is_loopback
    except ValueError as error:
        raise PlanError(
            f'{address}: expected host:port with a numeric IP address'
        ) from error
    if not is_loopback:
        raise PlanError(f'{address}: not a loopback address')
