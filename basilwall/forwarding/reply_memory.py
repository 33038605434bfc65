"""The memory for the replies of searchers and the answers of other VMs.

It is shared by service, so that the replies of one can't take it from those of
the others, and given to the most urgent requests first.
"""

import logging

from basilwall.parts.clock import Clock
from basilwall.parts.log_limit import LogLimit
from basilwall.parts.memory_budget import (
    MemoryAccount,
    MemoryBudget,
    MemoryOwner,
    Urgency,
)
from basilwall.records.forwarding import Call
from basilwall.records.ids import SearcherId, ServiceName

MAX_LINES_PER_SECOND = 10

_log = logging.getLogger(__name__)


class ReplyMemory:
    """Limits what all replies occupy, until their callers have them.

    `rejected` counts the replies that were ended for their size.
    """

    def __init__(self, limit: int, clock: Clock) -> None:
        """Share `limit` bytes."""
        self.rejected = 0
        self._budget = MemoryBudget(limit)
        self._log_limit = LogLimit(MAX_LINES_PER_SECOND, clock)

    @property
    def limit(self) -> int:
        """The most that all replies may occupy, in bytes."""
        return self._budget.limit

    @property
    def used(self) -> int:
        """What all replies occupy now, in bytes."""
        return self._budget.used

    def is_awaited(self) -> bool:
        """Return whether a reply waits for room."""
        return self._budget.is_awaited()

    def account(self, call: Call, service: ServiceName) -> MemoryAccount:
        """Open an account for a reply of a service to a request."""
        return self._budget.account(
            MemoryOwner(service), Urgency(call.rank, call.expires_at)
        )

    def note_rejected(
        self, searcher: SearcherId, size: int, detail: str
    ) -> None:
        """Count and log a reply that was ended for its size, in bytes."""
        self.rejected += 1
        suppressed = self._log_limit.take()
        if suppressed is not None:
            _log.warning(
                'reply too large',
                extra={
                    'searcher': searcher,
                    'bytes': size,
                    'detail': detail,
                    'not_logged_before': suppressed,
                },
            )
