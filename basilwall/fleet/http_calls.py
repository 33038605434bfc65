"""HTTP calls between entry VMs, with time limits for the whole call."""

import http.client
import time
from dataclasses import dataclass
from typing import Any

from basilwall.configuration.limited_read import read_body
from basilwall.parts.deadline_socket import DeadlineSocket
from basilwall.records.ids import VmAddress

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503
#: A transfer without a byte for this long is given up.
STALL_SECONDS = 0.7


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of a call, in seconds.

    A VM that does not respond is given up after `head_seconds`. The transfer
    of its response may take `transfer_seconds` more, unless it stalls.
    """

    head_seconds: float
    transfer_seconds: float


def post(
    address: VmAddress,
    path: str,
    body: bytes,
    limits: CallLimits,
) -> tuple[int, bytes]:
    """Send a request to a VM and read the whole response.

    Args:
        address: The peer address of the VM.
        path: The path of the endpoint.
        body: The body of the request.
        limits: Limits of the call. The timeout of a plain socket would apply
            to each read separately.

    Returns:
        The status and the body of the response.

    Raises:
        OSError: If the VM was not reached or did not respond in time.
        http.client.HTTPException: If the response is not valid HTTP.
    """
    head_deadline = time.monotonic() + limits.head_seconds
    connection = http.client.HTTPConnection(
        address, timeout=limits.head_seconds
    )
    try:
        connection.connect()
        connected: Any = connection.sock
        deadline_socket = DeadlineSocket(connected)
        deadline_socket.deadline = head_deadline
        deadline_socket.settimeout(max(head_deadline - time.monotonic(), 0))
        connection.sock = deadline_socket
        connection.request('POST', path, body)
        response = connection.getresponse()
        deadline_socket.deadline = time.monotonic() + limits.transfer_seconds
        deadline_socket.stall_seconds = STALL_SECONDS
        return response.status, read_body(response)
    finally:
        connection.close()
