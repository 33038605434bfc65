"""Reads the body of an HTTP response up to a limit."""

import http.client

#: Many times the largest response of the store or of a VM, which holds a few
#: versions of a value of 1 MB.
MAX_RESPONSE_BYTES = 33_554_432


class ResponseTooLargeError(http.client.HTTPException):
    """The body of a response is larger than the limit, or has no end."""


def read_body(
    response: http.client.HTTPResponse, limit: int = MAX_RESPONSE_BYTES
) -> bytes:
    """Read the whole body of a response.

    Args:
        response: The response, whose head has been read.
        limit: The most that is read, in bytes.

    Returns:
        The body.

    Raises:
        ResponseTooLargeError: If it is larger.
        OSError: If the connection fails.
    """
    body = response.read(limit + 1)
    if len(body) > limit:
        raise ResponseTooLargeError(f'response larger than {limit} bytes')
    return body
