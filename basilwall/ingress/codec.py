"""What ingress needs to know of the wire, met by an adapter."""

from abc import ABC, abstractmethod

import h11

from basilwall.records.forwarding import Answer, Call


class CallerCodec(ABC):
    """Reads callers' requests and writes the heads of their answers."""

    @abstractmethod
    def decode_request(
        self, request: h11.Request, body: bytes, received_at: float
    ) -> Call:
        """Read a request; `received_at` is in monotonic seconds."""

    @abstractmethod
    def encode_headers(
        self,
        call: Call | None,
        answer: Answer,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer, but for those of framing."""
