"""Interface to the wire format of searchers, implemented by an adapter."""

from abc import ABC, abstractmethod

from basilwall.records.forwarding import Call, Reply, ReplyHead, ReplyMatch
from basilwall.records.ids import SearcherId


class AttemptCodec(ABC):
    """Encodes attempts and decodes the replies to them."""

    @abstractmethod
    def encode_attempt(
        self,
        call: Call,
        searcher: SearcherId,
        time_left: float,
    ) -> bytes:
        """Return the head of one attempt; the body of the call follows it.

        Args:
            call: The caller's request.
            searcher: The searcher that the attempt is sent to.
            time_left: Time until the deadline, in seconds.
        """

    @abstractmethod
    def match_reply(self, call: Call, head: ReplyHead) -> ReplyMatch:
        """Return which request a reply names."""

    @abstractmethod
    def decode_reply(
        self,
        searcher: SearcherId,
        head: ReplyHead,
        body: bytes,
    ) -> Reply:
        """Decode a complete reply of a searcher."""

    @abstractmethod
    def idle_limit(self, head: ReplyHead) -> float | None:
        """Return how long the searcher keeps an idle connection open.

        Returns:
            The time in seconds, None if the searcher does not say.
        """
