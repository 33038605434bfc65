"""Reads the body of an HTTP response up to a limit."""

import http.client
from collections.abc import Callable

#: Many times the largest response of the store or of a VM, which holds a few
#: versions of a value of 1 MB.
MAX_RESPONSE_BYTES = 33_554_432
PIECE_BYTES = 16_384


class ResponseTooLargeError(http.client.HTTPException):
    """The body of a response is larger than the limit, or has no end."""


class InterruptedReadError(OSError):
    """The connection failed before the body of a response was complete."""


def _ignore_piece() -> None:
    """Ignore that a piece has been read."""


def read_body(
    response: http.client.HTTPResponse,
    limit: int = MAX_RESPONSE_BYTES,
    on_piece: Callable[[], None] = _ignore_piece,
) -> bytes:
    """Read the whole body of a response.

    Args:
        response: The response, whose head has been read.
        limit: The most that is read, in bytes.
        on_piece: Called after each piece.

    Returns:
        The body.

    Raises:
        ResponseTooLargeError: If it is larger.
        InterruptedReadError: If the connection fails or is closed before the
            end; its message says how much had been read.
    """
    pieces: list[bytes] = []
    size = 0
    is_ended = False
    while size <= limit and not is_ended:
        wanted = min(PIECE_BYTES, limit + 1 - size)
        try:
            piece = response.read(wanted)
        except OSError as error:
            raise InterruptedReadError(
                f'{error} after {size} bytes, {response.length} left'
            ) from error
        on_piece()
        pieces.append(piece)
        size += len(piece)
        is_ended = len(piece) < wanted
    if size > limit:
        raise ResponseTooLargeError(f'response larger than {limit} bytes')
    if response.length:
        raise InterruptedReadError(
            f'closed after {size} bytes, {response.length} left'
        )
    return b''.join(pieces)
