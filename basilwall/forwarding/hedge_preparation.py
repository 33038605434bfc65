"""Opens the connections of hedges before these are due.

The searchers that late attempts are hedged at are often in another region, and
few of them have an idle connection. To open one takes a round trip: it passes
while the late attempt may still be answered.
"""

import math
from collections.abc import Callable, Sequence

from basilwall.forwarding.context import ForwardingContext
from basilwall.forwarding.subrequest import SubRequest

#: Share of the hedge delay after which the connection is opened.
PREPARATION_RATIO = 0.25


def prepare_hedges(
    subrequests: Sequence[SubRequest],
    context: ForwardingContext,
    may_send: Callable[[SubRequest], bool],
) -> None:
    """Connect to the searchers that late attempts may be hedged at.

    Args:
        subrequests: The parts of a request; those that are due are prepared.
        context: The collaborators of the request.
        may_send: Returns whether a part may have a further attempt.
    """
    now = context.clock.monotonic()
    for subrequest in subrequests:
        if subrequest.prepare_at > now:
            continue
        subrequest.prepare_at = math.inf
        if subrequest.is_open and may_send(subrequest):
            other = context.selector.pick(subrequest.service, subrequest.tried)
            if other is not None:
                context.transport.prepare_connection(other.searcher)
