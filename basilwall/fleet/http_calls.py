"""HTTP calls between entry VMs, with one time limit for the whole call."""

import http.client
import time
from typing import Any

from basilwall.configuration.limited_read import read_body
from basilwall.parts.deadline_socket import DeadlineSocket
from basilwall.records.ids import VmAddress

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503


def post(
    address: VmAddress,
    path: str,
    body: bytes,
    timeout_seconds: float,
) -> tuple[int, bytes]:
    """Send a request to a VM and read the whole response.

    Args:
        address: The peer address of the VM.
        path: The path of the endpoint.
        body: The body of the request.
        timeout_seconds: Limit of the whole call. The timeout of a plain socket
            would apply to each read separately.

    Returns:
        The status and the body of the response.

    Raises:
        OSError: If the VM was not reached or did not respond in time.
        http.client.HTTPException: If the response is not valid HTTP.
    """
    deadline = time.monotonic() + timeout_seconds
    connection = http.client.HTTPConnection(address, timeout=timeout_seconds)
    try:
        connection.connect()
        connected: Any = connection.sock
        deadline_socket = DeadlineSocket(connected)
        deadline_socket.deadline = deadline
        deadline_socket.settimeout(max(deadline - time.monotonic(), 0))
        connection.sock = deadline_socket
        connection.request('POST', path, body)
        response = connection.getresponse()
        return response.status, read_body(response)
    finally:
        connection.close()
