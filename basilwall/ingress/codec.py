"""Interface to the platform's HTTP format, implemented by its adapter."""

from abc import ABC, abstractmethod

from basilwall.records.forwarding import Answer, Call
from basilwall.records.request_head import RequestHead


class CallerCodec(ABC):
    """Decodes callers' requests and encodes the headers of answers."""

    @abstractmethod
    def decode_request(
        self, request: RequestHead, body: bytes, received_at: float
    ) -> Call:
        """Decode a request; `received_at` is in monotonic seconds."""

    @abstractmethod
    def encode_headers(
        self,
        call: Call | None,
        answer: Answer,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer without those of the framing.

        Args:
            call: The request, or None if it could not be read.
            answer: The answer.

        Returns:
            Names and values.
        """
