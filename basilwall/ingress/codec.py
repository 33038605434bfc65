"""Interface to the platform's HTTP format, implemented by its adapter."""

from abc import ABC, abstractmethod

import h11

from basilwall.records.forwarding import Answer, Call


class CallerCodec(ABC):
    """Decodes callers' requests and encodes the headers of answers."""

    @abstractmethod
    def decode_request(
        self, request: h11.Request, body: bytes, received_at: float
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
