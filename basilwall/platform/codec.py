"""Implements the codecs and the value reader for the users' platform."""

from basilwall.forwarding.codec import AttemptCodec
from basilwall.ingress.codec import CallerCodec
from basilwall.platform import headers, values
from basilwall.platform.decoding import UnreadableValueError
from basilwall.platform.route_documents import decode_table
from basilwall.records.forwarding import (
    Answer,
    Call,
    Reply,
    ReplyHead,
    ReplyMatch,
)
from basilwall.records.ids import SearcherId
from basilwall.records.request_head import RequestHead
from basilwall.records.routes import RouteTable
from basilwall.records.searcher import Searcher
from basilwall.routing.routing_state import InvalidValueError, ValueReader


class HeaderCodec(AttemptCodec, CallerCodec):
    """Encodes and decodes requests and replies of the users' platform."""

    def encode_attempt(
        self,
        call: Call,
        searcher: SearcherId,
        time_left: float,
    ) -> bytes:
        """Encode the head of one attempt; `time_left` is in seconds."""
        return headers.encode_attempt(call, searcher, time_left)

    def match_reply(self, call: Call, head: ReplyHead) -> ReplyMatch:
        """Return which request a reply names."""
        return headers.match_reply(call.request_id, head)

    def decode_reply(
        self,
        searcher: SearcherId,
        head: ReplyHead,
        body: bytes,
    ) -> Reply:
        """Decode the complete reply of a searcher."""
        return headers.decode_reply(searcher, head, body)

    def idle_limit(self, head: ReplyHead) -> float | None:
        """Return the idle timeout of the searcher's connection, in seconds."""
        return headers.idle_limit(head)

    def decode_request(
        self, request: RequestHead, body: bytes, now: float
    ) -> Call:
        """Decode a caller's request; `now` is in monotonic seconds."""
        return headers.decode_call(request, body, now)

    def encode_headers(
        self,
        call: Call | None,
        answer: Answer,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer, without the framing headers."""
        return headers.answer_headers(call, answer)


class StoreValueReader(ValueReader):
    """Decodes the values in the platform's metadata store."""

    def is_route_table_key(self, key: str) -> bool:
        """Return whether `key` holds the route table."""
        return key == values.TABLE_KEY

    def is_searcher_key(self, key: str) -> bool:
        """Return whether `key` holds a searcher's entry."""
        return key.startswith(values.SEARCHER_PREFIX)

    def read_route_table(self, body: bytes) -> RouteTable:
        """Decode the route table."""
        try:
            return decode_table(body)
        except UnreadableValueError as error:
            raise InvalidValueError(str(error)) from error

    def read_searcher(self, key: str, body: bytes) -> Searcher:
        """Decode a searcher's entry."""
        try:
            return values.decode_searcher(key, body)
        except UnreadableValueError as error:
            raise InvalidValueError(str(error)) from error
