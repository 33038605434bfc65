"""Reads the reply to one request of a searcher from its bytes.

A searcher may send more than the reply: a late one to an earlier request,
which is passed over, or bytes after the last one, which belong to no request.
"""

from collections.abc import Callable
from dataclasses import dataclass

import h11

#: Largest head of a reply, in bytes.
MAX_HEAD_BYTES = 65_536
#: A reply above this size ends the attempt, in bytes.
MAX_REPLY_BYTES = 16_777_216
HEAD = b'HEAD'
#: Tell the parser what its replies answer; only the method matters to it.
_SENT = h11.Request(method='GET', target='/', headers=[('Host', 'a')])
_SENT_HEAD = h11.Request(method=HEAD, target='/', headers=[('Host', 'a')])
_SENT_ALL = h11.EndOfMessage()


@dataclass(frozen=True, slots=True)
class WholeReply:
    """A reply read to its end; `is_clean` if nothing came after it."""

    head: h11.Response
    body: bytes
    is_clean: bool


class ReplyReader:
    """The bytes of the reply to one request."""

    def __init__(
        self,
        method: bytes,
        belongs: Callable[[h11.Response], bool],
    ) -> None:
        self._sent = _SENT_HEAD if method == HEAD else _SENT
        self._belongs = belongs
        self._size = 0
        self._begin()

    def feed(self, chunk: bytes) -> WholeReply | None:
        """Take in what the searcher sent.

        Args:
            chunk: The bytes; none if it closed the connection.

        Returns:
            The reply once it is whole.

        Raises:
            h11.RemoteProtocolError: If these bytes are no reply.
        """
        self._size += len(chunk)
        if self._size > MAX_REPLY_BYTES:
            raise h11.RemoteProtocolError('reply too large')
        self._http.receive_data(chunk)
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError('closed before a reply')
            whole = self._take(event)
            if whole is not None:
                return whole

    def _begin(self) -> None:
        self._response: h11.Response | None = None
        self._chunks: list[bytes] = []
        self._http = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAX_HEAD_BYTES,
        )
        self._http.send(self._sent)
        self._http.send(_SENT_ALL)

    def _take(self, event: object) -> WholeReply | None:
        if isinstance(event, h11.Response):
            self._response = event
        elif isinstance(event, h11.Data):
            self._chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return self._finish()
        return None

    def _finish(self) -> WholeReply | None:
        response = self._response
        if response is None:
            raise h11.RemoteProtocolError('no head')
        if not self._belongs(response):
            self._skip()
            return None
        rest, has_ended = self._http.trailing_data
        is_done = self._http.their_state is h11.DONE
        is_clean = is_done and not (rest or has_ended)
        return WholeReply(response, b''.join(self._chunks), is_clean)

    def _skip(self) -> None:
        """Pass over a late reply to an earlier request; ours comes next."""
        if self._http.their_state is not h11.DONE:
            raise h11.RemoteProtocolError('reply to another request')
        rest, has_ended = self._http.trailing_data
        self._begin()
        if rest:
            self._http.receive_data(rest)
        if has_ended:
            self._http.receive_data(b'')
