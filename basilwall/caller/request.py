"""One HTTP request of a caller, with its headers and body validated."""

import re
import uuid
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from basilwall.document.model import MAX_DEADLINE_MS
from basilwall.records.ids import RequestId

if TYPE_CHECKING:
    from wsgiref.types import WSGIEnvironment

MAX_ID_LENGTH = 64
#: Maximum number of digits of a timeout; a longer one is rejected.
MAX_TIMEOUT_DIGITS = 9
_ID = re.compile(rf'[\x21-\x7e]{{1,{MAX_ID_LENGTH}}}')
_TIMEOUT = re.compile(rf'[0-9]{{1,{MAX_TIMEOUT_DIGITS}}}')


class BadRequestError(Exception):
    """The request is invalid; no part of it ran."""

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class CallerRequest:
    """One HTTP request, read from its WSGI environment."""

    def __init__(self, environ: 'WSGIEnvironment') -> None:
        self._environ = environ
        caller_id = self.header('Request-Id')
        is_valid = _ID.fullmatch(caller_id) is not None
        self.request_id = RequestId(caller_id if is_valid else uuid.uuid4().hex)

    @property
    def method(self) -> str:
        """The HTTP method."""
        return str(self._environ['REQUEST_METHOD'])

    @property
    def path(self) -> str:
        """The path without its query string."""
        return str(self._environ.get('PATH_INFO', ''))

    def header(self, name: str) -> str:
        """Return a header, or an empty string if it is absent."""
        key = name.upper().replace('-', '_')
        return str(self._environ.get(f'HTTP_{key}', ''))

    def timeout_ms(self, default_ms: int) -> int:
        """Return the caller's timeout, in milliseconds.

        Args:
            default_ms: Used if the request has no timeout header.

        Returns:
            At least 1 and at most the longest deadline of a document.

        Raises:
            BadRequestError: If the header is not a whole number.
        """
        text = self.header('Request-Timeout-Ms')
        if not text:
            return default_ms
        if _TIMEOUT.fullmatch(text) is None:
            raise BadRequestError(
                HTTPStatus.BAD_REQUEST,
                f'Request-Timeout-Ms: 1 to {MAX_TIMEOUT_DIGITS} digits',
            )
        return min(max(int(text), 1), MAX_DEADLINE_MS)

    def body(self) -> bytes:
        """Return the JSON body.

        Returns:
            The body, unchanged.

        Raises:
            BadRequestError: If the body or its content type is not JSON.
        """
        content_type = str(self._environ.get('CONTENT_TYPE') or '')
        if content_type and 'json' not in content_type:
            raise BadRequestError(
                HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
                'the body must be application/json',
            )
        length = int(self._environ.get('CONTENT_LENGTH') or 0)
        body = bytes(self._environ['wsgi.input'].read(length))
        try:
            msgspec.json.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise BadRequestError(
                HTTPStatus.BAD_REQUEST,
                f'the body is not JSON: {error}',
            ) from error
        return body
