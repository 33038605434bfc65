"""What searchers say of themselves, beyond the replies to own attempts."""

from collections.abc import Iterable

from basilwall.records.forwarding import Reply
from basilwall.records.searcher import Searcher, SearcherProcess, process_of
from basilwall.routing.leaving_processes import LeavingNotice, valid_notices
from basilwall.routing.routing_state import RoutingState
from basilwall.routing.selection import SearcherSelector


class Announcements:
    """Applies what searchers said to other VMs, and what they said meanwhile.

    Args:
        routing_state: The searchers.
        selector: Holds their statistics.
    """

    def __init__(
        self, routing_state: RoutingState, selector: SearcherSelector
    ) -> None:
        self._routing_state = routing_state
        self._selector = selector

    def record_relayed(
        self, process: SearcherProcess, reply: Reply, sent_at: float
    ) -> None:
        """Record what a searcher says in an answer that another VM relayed.

        Args:
            process: The process that answered.
            reply: Its answer.
            sent_at: When the request was sent, in monotonic seconds.
        """
        listed = self._routing_state.all_searchers().get(process.searcher_id)
        if listed is not None and process_of(listed) == process:
            self._selector.record_announcements(listed, reply, sent_at)
        elif reply.is_leaving:
            self._routing_state.record_leaving(process)

    def apply_leaving(self, notices: Iterable[LeavingNotice]) -> None:
        """Record what another VM tells of leaving processes."""
        for notice in valid_notices(notices):
            self._routing_state.record_leaving(
                notice.process, notice.age_seconds
            )

    def may_send(self, searcher: Searcher) -> bool:
        """Return whether an attempt that waited for its connection may go."""
        stats = self._selector.stats_of(searcher)
        is_resting = stats.rest_seconds_left > 0
        return self._routing_state.is_usable(searcher) and not is_resting
