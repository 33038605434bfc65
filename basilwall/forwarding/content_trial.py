"""Sends a content to few searchers first, as it may crash those that run it.

A query goes to all shards, so a content that crashes searchers would end one of
each before any VM has a verdict on it. So its first attempts begin with two.
The others follow once one of these has answered, over connections that are
opened meanwhile.
"""

import zlib
from collections.abc import Callable, Iterable

from basilwall.forwarding.context import ForwardingContext
from basilwall.forwarding.crash_detection import fingerprint_of
from basilwall.forwarding.extra_attempt_canary import ExtraAttemptCanary
from basilwall.forwarding.subrequest import SubRequest
from basilwall.records.forwarding import Call
from basilwall.routing.searcher_stats import SearcherStats

#: Searchers that get a content at once of which nothing is known. One of them
#: may pause, so two answer sooner.
UNKNOWN_AT_ONCE = 2
#: Longest wait for the first answer to such a content, longer than a crashing
#: one takes to end a searcher.
MAX_TRIAL_SECONDS = 0.3
#: Searchers that take up to this many times as long as the fastest one are
#: equally good to begin with.
SAME_SPEED_RATIO = 2

#: Services and the searchers that a request goes to first.
FirstAttempts = list[tuple[SubRequest, SearcherStats]]


class ContentTrial:
    """The first attempts of one request, until one of them is answered."""

    def __init__(
        self,
        call: Call,
        context: ForwardingContext,
        canary: ExtraAttemptCanary,
        send: Callable[[SubRequest, SearcherStats], None],
        wait: Callable[[float], None],
    ) -> None:
        """Make the trial of one request.

        Args:
            call: The request.
            context: The collaborators of all requests.
            canary: Decides what is retried.
            send: Sends an attempt.
            wait: Handles the next results, until a time in monotonic seconds.
        """
        self._call = call
        self._context = context
        self._canary = canary
        self._send = send
        self._wait = wait

    def run(
        self, first_attempts: FirstAttempts, deadline: float
    ) -> FirstAttempts:
        """Send a content of which nothing is known to two searchers.

        Args:
            first_attempts: The services and searchers to send it to.
            deadline: When the request ends, in monotonic seconds.

        Returns:
            Those that may get it now; none if searchers were lost under it,
            here or at other VMs, and nobody has answered.
        """
        untried = self._in_order(first_attempts)
        now = self._context.clock.monotonic()
        ends_at = min(now + MAX_TRIAL_SECONDS, deadline)
        self._canary.is_trial = True
        for _, chosen in untried:
            self._context.transport.prepare_connection(chosen.searcher)
        tried: list[SubRequest] = []
        while not self._is_over(tried, ends_at):
            in_trial = sum(subrequest.is_open for subrequest in tried)
            if untried and in_trial < UNKNOWN_AT_ONCE:
                subrequest, stats = untried.pop(0)
                tried.append(subrequest)
                self._send(subrequest, stats)
            elif in_trial:
                self._wait(ends_at)
            else:
                break
        self._canary.is_trial = False
        if self._may_go_on(tried):
            return untried
        for untried_subrequest, _ in untried:
            untried_subrequest.has_ended = True
        return []

    def _is_over(self, tried: Iterable[SubRequest], ends_at: float) -> bool:
        """Return whether one was answered, or waiting is of no use."""
        if any(subrequest.success for subrequest in tried):
            return True
        is_late = self._context.clock.monotonic() >= ends_at
        is_harmful = self._canary.is_harmful
        return is_late or is_harmful or self._context.is_given_up()

    def _may_go_on(self, tried: Iterable[SubRequest]) -> bool:
        """Return whether the others may get the content now."""
        if self._canary.is_harmful:
            return False
        if any(subrequest.success for subrequest in tried):
            return True
        # Other VMs may have lost searchers under it meanwhile.
        return self._context.crash_detector.refusal_of(self._call) is None

    def _in_order(self, first_attempts: FirstAttempts) -> FirstAttempts:
        """Sort first attempts so that VMs near each other begin alike.

        Fast searchers come first, those that owe a reply for long last. What
        this VM has in flight there doesn't count, as it differs between VMs.
        """
        content = fingerprint_of(self._call)
        now = self._context.clock.monotonic()
        fastest = min(_seconds(stats, now) for _, stats in first_attempts)
        return sorted(
            first_attempts,
            key=lambda attempt: (
                attempt[1].is_stuck(now),
                attempt[1].is_backing_off,
                _seconds(attempt[1], now) > fastest * SAME_SPEED_RATIO,
                zlib.crc32(f'{content}{attempt[0].service}'.encode()),
            ),
        )


def _seconds(stats: SearcherStats, now: float) -> float:
    """Return how long an attempt takes if no other one is in flight."""
    return stats.round_trip + stats.expected_work(now)
