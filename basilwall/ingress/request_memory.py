"""The memory for callers' requests, and what one of them holds."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from basilwall.parts.held_replies import HeldReplies
from basilwall.parts.memory_budget import MemoryAccount, MemoryBudget


@dataclass(frozen=True, slots=True)
class HeldMemory:
    """What a request and the replies to it occupy."""

    account: MemoryAccount
    replies: HeldReplies = field(default_factory=HeldReplies)


class RequestMemory:
    """Limits what all requests of callers occupy, in bytes."""

    def __init__(self, limit: int) -> None:
        self._budget = MemoryBudget(limit)

    @contextmanager
    def held(self) -> Iterator[HeldMemory]:
        """Count what a request occupies until the end of a `with` block."""
        held = HeldMemory(self._budget.account())
        try:
            yield held
        finally:
            held.account.release()
            held.replies.close()
