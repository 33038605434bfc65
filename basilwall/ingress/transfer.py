"""How much of a caller's time passes on the way to this VM and back."""

import socket
import struct

#: Assumed where the kernel does not tell the round trip.
DEFAULT_ROUND_TRIP_SECONDS = 0.008
#: Added for what delays packets beside the distance.
SLACK_SECONDS = 0.002
#: Where the kernel's `struct tcp_info` holds the smoothed round trip, in us.
ROUND_TRIP_OFFSET = 68
ROUND_TRIP_FORMAT = 'I'
TCP_INFO_BYTES = 104
MICROSECONDS_PER_SECOND = 1_000_000


def transfer_seconds(caller: socket.socket, *, is_first_request: bool) -> float:
    """Return the time that a request and its answer spend on their way.

    Args:
        caller: The connection of the caller.
        is_first_request: Whether the caller opened the connection for this
            request, which takes one more round trip.
    """
    round_trips = 2 if is_first_request else 1
    return _round_trip_seconds(caller) * round_trips + SLACK_SECONDS


def _round_trip_seconds(caller: socket.socket) -> float:
    try:
        tcp_info = caller.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        fields = struct.unpack_from(
            ROUND_TRIP_FORMAT, tcp_info, ROUND_TRIP_OFFSET
        )
    except (OSError, struct.error):
        return DEFAULT_ROUND_TRIP_SECONDS
    return float(fields[0]) / MICROSECONDS_PER_SECOND
