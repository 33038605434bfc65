"""Holds back hedges and retries of a query until a searcher has answered it.

The first attempts of a query reach a searcher of each shard at the same
moment, so a content that crashes searchers may end one of each, and with hedges
and retries a second one, before any VM has a verdict on it. So until a searcher
has answered the content:

- one shard is hedged, after some time, and the others are not;
- a shard whose connection was lost waits for the answers of the others;
- if all were lost, one is retried alone, as a canary. If its connection is lost
  too, none of the others is retried.
"""

import math
from collections.abc import Callable, Sequence, Sized
from enum import Enum

from basilwall.forwarding.subrequest import SubRequest
from basilwall.parts.clock import Clock
from basilwall.records.ids import SearcherId, ServiceName

#: Longest wait for an answer; a searcher that is only paused is back by then.
MAX_HOLD_SECONDS = 0.3
#: Leaves the first attempts time to be answered, or lost, before a hedge.
FIRST_HEDGE_WAIT_SECONDS = 0.08
NO_SEARCHER = SearcherId('')


def retry_nothing(_: SubRequest) -> bool:
    """Refuse a further attempt, as the request has ended."""
    return False


class _State(Enum):
    """What is known of the content from the attempts of this request."""

    UNKNOWN = 'unknown'
    TRYING = 'trying'
    HARMLESS = 'harmless'
    HARMFUL = 'harmful'


class ExtraAttemptCanary:
    """Decides which further attempts of one request have to wait.

    `late_at` is when the longest wait ends, in monotonic seconds.
    """

    def __init__(
        self,
        retry: Callable[[SubRequest], bool],
        in_flight: Sized,
        least_struck: Callable[[Sequence[ServiceName]], int],
        add_step: Callable[[SubRequest, SearcherId, str], None],
        clock: Clock,
        *,
        is_scattered: bool,
    ) -> None:
        """Make the canary of one request.

        Args:
            retry: Sends a further attempt; returns False if none is possible.
            in_flight: The attempts in flight.
            least_struck: Returns which service lost the fewest searchers under
                the content, as an index.
            add_step: Adds a decision to the trail of the request.
            clock: Tells when the longest wait ends.
            is_scattered: Whether the request goes to more than one service;
                nothing is held back if not.
        """
        self.late_at = math.inf
        #: Sends a further attempt; replaced once the request has ended.
        self.retry = retry
        self._in_flight = in_flight
        self._least_struck = least_struck
        self._add_step = add_step
        self._clock = clock
        self._state = _State.UNKNOWN if is_scattered else _State.HARMLESS
        self._canary: SubRequest | None = None
        self._held: list[SubRequest] = []
        #: True while the request is at few searchers only, and none of them has
        #: answered: it is given up if all of them are lost.
        self.is_trial = False

    @property
    def is_harmful(self) -> bool:
        """True if searchers were lost under the content and none answered."""
        return self._state is _State.HARMFUL

    @property
    def hedge_wait(self) -> float:
        """For how long late attempts are not hedged yet, in seconds."""
        if self._state is _State.HARMLESS:
            return 0
        is_waiting = self.late_at < math.inf
        if is_waiting or self._state is not _State.UNKNOWN:
            return math.inf
        return FIRST_HEDGE_WAIT_SECONDS

    def begin_with(self, subrequest: SubRequest) -> None:
        """Make the first attempt of a suspected content the canary.

        Args:
            subrequest: The only one that is sent. It is not hedged, and not
                retried if its connection is lost.
        """
        self._state, self._canary = _State.TRYING, subrequest
        self.is_trial = True

    def note_hedge(self, subrequest: SubRequest) -> None:
        """Make the first hedge the canary, and hold back further ones."""
        if self._state is _State.UNKNOWN:
            self._canary = subrequest
            self._start_hold()

    def note_loss(self, subrequest: SubRequest) -> None:
        """Retry a subrequest, hold it back or give it up.

        Args:
            subrequest: Its connection was lost; it has no attempt in flight.
        """
        if self._state is _State.HARMLESS:
            self._retry_or_end(subrequest)
            return
        self._held.append(subrequest)
        is_lost_in_trial = self.is_trial and len(self._held) > 1
        is_lost_again = is_lost_in_trial or subrequest is self._canary
        if self._state is _State.HARMFUL or is_lost_again:
            self._state, self.late_at = _State.HARMFUL, math.inf
            for held in self._take_held():
                held.has_ended = True
                self._add_step(held, NO_SEARCHER, 'not retried, canary lost')
        elif self._state is _State.UNKNOWN:
            self._start_hold()

    def note_answer(self) -> None:
        """Let all go on, as a searcher has run the content and answered."""
        if self._state is not _State.HARMFUL:
            self._pass()

    def note_failure(self, subrequest: SubRequest) -> None:
        """Choose another canary if this one has ended without an answer."""
        is_canary = subrequest is self._canary
        if self._state is _State.TRYING and is_canary and subrequest.has_ended:
            self._state = _State.UNKNOWN

    def settle(self) -> None:
        """Act on what is known; called after each group of results."""
        is_late = self._clock.monotonic() >= self.late_at
        if is_late and (self._state is _State.TRYING or not self._held):
            self._pass()
        elif is_late or not (self._in_flight or self.is_trial):
            self._try_next()

    def _try_next(self) -> None:
        """Retry the one of those held back whose shard lost the fewest."""
        while self._held and self._state is _State.UNKNOWN:
            services = [held.service for held in self._held]
            self._canary = self._held.pop(self._least_struck(services))
            self._start_hold()
            self._state = _State.TRYING
            self._retry_or_end(self._canary)
            self.note_failure(self._canary)

    def _start_hold(self) -> None:
        self.late_at = self._clock.monotonic() + MAX_HOLD_SECONDS

    def _pass(self) -> None:
        self.is_trial = False
        self._state, self.late_at = _State.HARMLESS, math.inf
        for subrequest in self._take_held():
            self._retry_or_end(subrequest)

    def _retry_or_end(self, subrequest: SubRequest) -> None:
        if not self.retry(subrequest):
            subrequest.has_ended = True

    def _take_held(self) -> list[SubRequest]:
        held, self._held = self._held, []
        return held
