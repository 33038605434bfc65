"""The part of a request that goes to one service, and its progress."""

import math
from dataclasses import dataclass, field

from basilwall.forwarding.transport import Attempt
from basilwall.records.forwarding import AttemptResult, Reply, Unsent
from basilwall.records.ids import SearcherId, ServiceName


@dataclass(slots=True, eq=False)
class SubRequest:
    """The attempts at one service; times are in monotonic seconds.

    A late attempt is hedged at `hedge_at`; the connection for that is prepared
    at `prepare_at`.
    `numbers_by_attempt` holds the attempts in flight, oldest first, with their
    numbers in the statistics of their searchers. `sent_to` are the searchers
    that the request reached or may have reached, `unreachable` those to which
    nothing could be sent.
    """

    service: ServiceName
    hedge_at: float
    prepare_at: float = math.inf
    numbers_by_attempt: dict[Attempt, int] = field(default_factory=dict)
    sent_to: set[SearcherId] = field(default_factory=set)
    unreachable: set[SearcherId] = field(default_factory=set)
    success: Reply | None = None
    failure: AttemptResult | None = None
    may_have_run: bool = False
    has_ended: bool = False

    @property
    def tried(self) -> set[SearcherId]:
        """The searchers that get no further attempt of this request."""
        return self.sent_to | self.unreachable

    @property
    def is_open(self) -> bool:
        """True while an attempt may still succeed."""
        return not self.has_ended

    @property
    def reached_count(self) -> int:
        """How many searchers the request was sent to."""
        unsent = sum(
            1 for attempt in self.numbers_by_attempt if not attempt.is_sent
        )
        return len(self.sent_to) - unsent

    def record_failure(self, outcome: AttemptResult) -> None:
        """Keep a failure, preferring a complete reply, which says most."""
        if not isinstance(self.failure, Reply) or isinstance(outcome, Reply):
            self.failure = outcome
        if isinstance(outcome, Unsent):
            self.sent_to.discard(outcome.searcher)
            self.unreachable.add(outcome.searcher)
