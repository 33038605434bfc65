"""Limits on the requests that VMs relay to each other."""

from dataclasses import replace

from basilwall.records.routes import CallerLimits

#: What a relayed request may hold in any case: the table of the relaying VM may
#: allow more than the one in force here.
MIN_HEAD_BYTES = 262_144
MIN_BODY_BYTES = 16_777_216


def relayed_limits(limits: CallerLimits) -> CallerLimits:
    """Return the limits on relayed requests.

    Args:
        limits: Those on the requests of callers, by the table in force here.

    Returns:
        The same times, and sizes that are at least as high.
    """
    return replace(
        limits,
        max_header_bytes=max(limits.max_header_bytes, MIN_HEAD_BYTES),
        max_body_bytes=max(limits.max_body_bytes, MIN_BODY_BYTES),
    )
