"""One service that a request asks, and how far that has come."""

from dataclasses import dataclass, field

from basilwall.forwarding.transport import Attempt
from basilwall.records.forwarding import AttemptResult, Reply, Unsent
from basilwall.records.ids import SearcherId, ServiceName


@dataclass(slots=True, eq=False)
class SubRequest:
    """The attempts at one service; times are in monotonic seconds.

    `sent_to` are the searchers that the request reached or may have reached,
    `passed_over` those that nothing was sent to.
    """

    service: ServiceName
    hedge_at: float
    numbers_by_attempt: dict[Attempt, int] = field(default_factory=dict)
    sent_to: set[SearcherId] = field(default_factory=set)
    unreachable: set[SearcherId] = field(default_factory=set)
    success: Reply | None = None
    failure: AttemptResult | None = None
    may_have_run: bool = False
    has_ended: bool = False

    @property
    def is_open(self) -> bool:
        """True while a success can still come."""
        return not self.has_ended

    def record_failure(self, outcome: AttemptResult) -> None:
        """Keep the failure that tells the caller most: a whole reply."""
        if not isinstance(self.failure, Reply) or isinstance(outcome, Reply):
            self.failure = outcome
        if isinstance(outcome, Unsent):
            self.sent_to.discard(outcome.searcher)
            self.unreachable.add(outcome.searcher)
