"""What forwarding needs to know of the wire, met by an adapter."""

from abc import ABC, abstractmethod

from basilwall.records.forwarding import Call, Reply, ReplyHead
from basilwall.records.ids import SearcherId


class AttemptCodec(ABC):
    """Writes attempts and reads the replies to them."""

    @abstractmethod
    def encode_attempt(
        self,
        call: Call,
        searcher: SearcherId,
        time_left: float,
    ) -> bytes:
        """Return the bytes of one attempt; `time_left` is in seconds."""

    @abstractmethod
    def is_reply_to(self, call: Call, head: ReplyHead) -> bool:
        """Return whether a reply is one to this request."""

    @abstractmethod
    def decode_reply(
        self,
        searcher: SearcherId,
        head: ReplyHead,
        body: bytes,
    ) -> Reply:
        """Read the whole reply of a searcher."""

    @abstractmethod
    def idle_limit(self, head: ReplyHead) -> float | None:
        """Return how long the searcher keeps an idle connection, in seconds.

        None if the searcher does not say.
        """
