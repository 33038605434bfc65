"""Which requests a VM still takes during a planned stop.

Callers keep their connections until the VM closes them, so requests come until
the end of the stop. One that might not end before would be given up: it is
refused at once instead, and its caller comes back at another VM.
"""

from types import MappingProxyType

from basilwall.records.forwarding import Call
from basilwall.records.routes import RetrySafety, Route

#: Time that a stop must leave to a request that itself has as much. One that
#: may run only once can't be sent again after it was given up.
MIN_SECONDS_BY_RETRY_SAFETY = MappingProxyType(
    {RetrySafety.IDEMPOTENT: 1.0, RetrySafety.AT_MOST_ONCE: 2.0}
)


def answer_due_at(call: Call, route: Route | None) -> float:
    """Return when an answer is due, in monotonic seconds."""
    if route is None:
        return call.expires_at
    return min(call.expires_at, call.received_at + route.timeout)


def is_too_late(call: Call, route: Route, now: float, stops_at: float) -> bool:
    """Return whether a planned stop leaves a request too little time.

    Args:
        call: The request.
        route: Its route.
        now: The current time, in monotonic seconds.
        stops_at: When the stop gives its last answers.
    """
    needed = min(
        MIN_SECONDS_BY_RETRY_SAFETY[route.retry_safety],
        answer_due_at(call, route) - now,
    )
    return stops_at - now < needed
