"""Fetches the status report of a running VM."""

import http.client

import msgspec

from basilwall.operators.status import StatusReport

TIMEOUT_SECONDS = 5.0
_decoder = msgspec.json.Decoder(StatusReport)


class StatusError(Exception):
    """The VM did not answer, or not with a status report."""


def fetch_status(address: str) -> bytes:
    """Fetch the status report of a VM as JSON.

    Args:
        address: The VM's address for callers, `host:port`.

    Returns:
        The body of the reply.

    Raises:
        StatusError: If the VM can't be reached or its reply is not HTTP.
    """
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
    try:
        connection.request('GET', '/statusz')
        return connection.getresponse().read()
    except (OSError, http.client.HTTPException) as error:
        raise StatusError(f'{address}: {error}') from error
    finally:
        connection.close()


def decode_status(body: bytes) -> StatusReport:
    """Decode a status report.

    Args:
        body: The JSON that `fetch_status` returned.

    Returns:
        The report.

    Raises:
        StatusError: If the body is not a status report.
    """
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise StatusError(f'not a status report: {error}') from error
