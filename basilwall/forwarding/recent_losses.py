"""Searchers that were lost lately, by the request content that they ran.

They tell apart a content that ends one searcher after the other from an outage
that ends several at once.
"""

import threading
from collections import deque
from dataclasses import dataclass

from basilwall.parts.content_strikes import SAME_CRASH_SECONDS
from basilwall.records.ids import Fingerprint, SearcherAddress

#: A content that ends searchers runs for at least this share of the longest
#: time that it took before, less what scheduling and round trips vary by.
MIN_RUN_RATIO = 0.5
RUN_JITTER_SECONDS = 0.005


@dataclass(frozen=True, slots=True)
class RecentLoss:
    """A searcher that was lost under a content, at a monotonic time.

    It may have run the content for `run_seconds`; less than 0 if it ended
    before the content can have reached it.
    """

    content: Fingerprint
    searcher: SearcherAddress
    lost_at: float
    run_seconds: float


class RecentLosses:
    """The searchers that were lost lately, by the content that they ran."""

    def __init__(self) -> None:
        self._losses: deque[RecentLoss] = deque()
        self._lock = threading.Lock()

    def add(self, loss: RecentLoss) -> None:
        """Record a loss, and forget those that are no longer recent."""
        oldest_kept = loss.lost_at - SAME_CRASH_SECONDS
        with self._lock:
            self._losses.append(loss)
            while self._losses[0].lost_at < oldest_kept:
                self._losses.popleft()

    def is_repeated(
        self, content: Fingerprint, sent_at: float, run_seconds: float
    ) -> bool:
        """Return whether a loss repeats an earlier one under its content.

        A content that ends searchers does so after about the same time on each
        of them. An outage ends the searcher of a retry sooner, or it refuses
        the retry.

        Args:
            content: The content.
            sent_at: When it was sent to the searcher that is lost now, in
                monotonic seconds; earlier losses were seen by then.
            run_seconds: How long that searcher may have run it.
        """
        if run_seconds < -RUN_JITTER_SECONDS:
            return False
        earlier = [
            loss.run_seconds
            for loss in self._of(content)
            if loss.lost_at <= sent_at
        ]
        longest = max(earlier, default=0)
        least_run = longest * MIN_RUN_RATIO - RUN_JITTER_SECONDS
        return bool(earlier) and run_seconds >= least_run

    def searchers_of(self, content: Fingerprint) -> set[SearcherAddress]:
        """Return the searchers lost under a content."""
        return {loss.searcher for loss in self._of(content)}

    def _of(self, content: Fingerprint) -> list[RecentLoss]:
        with self._lock:
            return [loss for loss in self._losses if loss.content == content]
