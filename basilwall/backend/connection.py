"""One HTTP connection to a searcher.

A connection whose reply was not read to its end is closed and never used
again, so a late reply can't be taken for that of the next request.
"""

import http.client
import select
import socket
from dataclasses import dataclass

import msgspec

from basilwall.records.attempt import (
    Answered,
    AttemptOutcome,
    AttemptRequest,
    MayHaveRun,
    NotRun,
    OutcomeTag,
    SearcherReply,
)
from basilwall.records.ids import SearcherAddress, SnapshotId

#: Least time given to a socket operation, in seconds.
LEAST_TIMEOUT = 0.001
MILLISECONDS = 1000
#: A reply above this size ends the attempt, in bytes.
MAX_REPLY_BYTES = 16_777_216

_decoder = msgspec.json.Decoder(SearcherReply)
_TAG_BY_NAME = {tag.value: tag for tag in OutcomeTag}


class ConnectError(Exception):
    """No connection could be made, so nothing was sent."""


class ReplyError(Exception):
    """The request was sent and no whole, matching reply came back."""

    def __init__(self, tag: OutcomeTag, detail: str) -> None:
        super().__init__(detail)
        self.tag = tag


@dataclass(frozen=True, slots=True)
class RawReply:
    """A reply that was read to its end."""

    status: int
    body: bytes


class SearcherConnection:
    """A kept-alive connection that carries one attempt at a time."""

    def __init__(self, address: SearcherAddress) -> None:
        self.address = address
        self._http: http.client.HTTPConnection | None = None

    @property
    def is_open(self) -> bool:
        """True if a request may be sent without connecting first."""
        return self._http is not None

    def open(self, timeout: float) -> None:
        """Connect if there is no usable connection.

        Args:
            timeout: The longest wait, in seconds.

        Raises:
            ConnectError: If the searcher does not accept.
        """
        if self._http is not None and not self._closed_by_searcher():
            return
        self.close()
        connection = http.client.HTTPConnection(
            self.address,
            timeout=max(timeout, LEAST_TIMEOUT),
        )
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            raise ConnectError(str(error)) from error
        self._http = connection

    def exchange(
        self,
        request: AttemptRequest,
        timeout: float,
    ) -> AttemptOutcome:
        """Send one attempt and read its whole reply.

        Args:
            request: The attempt.
            timeout: The time left to it, in seconds.

        Returns:
            The outcome. The connection is closed unless the reply was read
            to its end and belongs to this attempt.
        """
        try:
            return self._outcome(request, self._exchange(request, timeout))
        except ReplyError as error:
            self.close()
            return MayHaveRun(self.address, error.tag, str(error))

    def abort(self) -> None:
        """End an exchange that another thread waits in."""
        connection = self._http
        if connection is None or connection.sock is None:
            return
        try:
            connection.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection; the next use makes a new one."""
        connection, self._http = self._http, None
        if connection is not None:
            connection.close()

    def _closed_by_searcher(self) -> bool:
        sock = self._http.sock if self._http else None
        if sock is None:
            return True
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        return bool(poller.poll(0))

    def _exchange(self, request: AttemptRequest, timeout: float) -> RawReply:
        connection = self._http
        if connection is None or connection.sock is None:
            raise ReplyError(OutcomeTag.LOST, 'connection closed')
        try:
            connection.sock.settimeout(max(timeout, LEAST_TIMEOUT))
            connection.request(
                'POST',
                f'/v1/{request.service}/{request.instance}'
                f'/{request.kind.value}',
                body=request.body,
                headers=_headers(request, timeout),
            )
            response = connection.getresponse()
            body = response.read(MAX_REPLY_BYTES + 1)
        except TimeoutError as error:
            raise ReplyError(OutcomeTag.LATE, 'timeout') from error
        except (OSError, http.client.HTTPException) as error:
            raise ReplyError(OutcomeTag.LOST, repr(error)) from error
        if len(body) > MAX_REPLY_BYTES:
            raise ReplyError(OutcomeTag.LOST, 'reply too large')
        if response.will_close:
            self.close()
        return RawReply(response.status, body)

    def _outcome(
        self,
        request: AttemptRequest,
        raw: RawReply,
    ) -> AttemptOutcome:
        try:
            reply = _decoder.decode(raw.body)
        except msgspec.DecodeError as error:
            raise ReplyError(OutcomeTag.LOST, str(error)) from error
        tag = _TAG_BY_NAME.get(reply.outcome)
        if reply.attempt_id != request.attempt_id or tag is None:
            raise ReplyError(OutcomeTag.LOST, 'reply to another attempt')
        if tag is OutcomeTag.ANSWERED:
            return _answered(self.address, reply)
        if tag is OutcomeTag.LATE:
            return MayHaveRun(self.address, tag, 'searcher gave up')
        return NotRun(self.address, tag, '', reply.retry_after_ms)


def _headers(request: AttemptRequest, timeout: float) -> dict[str, str]:
    return {
        'Request-Id': request.request_id,
        'Attempt-Id': request.attempt_id,
        'Snapshot': request.snapshot,
        'Timeout-Ms': str(int(timeout * MILLISECONDS)),
    }


def _answered(address: SearcherAddress, reply: SearcherReply) -> Answered:
    return Answered(
        address,
        SnapshotId(reply.snapshot),
        bytes(reply.records),
        reply.covered,
        reply.total,
        reply.leaving,
    )
