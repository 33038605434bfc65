"""Shares of a rate that all VMs of a fleet keep together.

VMs don't agree on who sends next: each takes an equal share and counts alone.
A share is often far below one request per second, so allowances are handed out
in turns of one second. A VM gets the whole part of its share and, in some
turns, one request more, so that the mean is the share. What a turn leaves is
lost: else idle VMs would save up allowances and spend them at the same time.
"""

import math
import random

from basilwall.parts.clock import Clock

TURN_SECONDS = 1.0
#: Turns with one more request are spread evenly by adding the golden ratio.
GOLDEN_RATIO = 0.618034
#: Turns that are searched for the next allowance.
MAX_TURNS_AHEAD = 60


class TurnClock:
    """Numbers the turns of this VM; every VM starts its turns at its own time.

    All rates of a VM follow the same turns. So a request that needs several of
    them at once finds their allowances at the same time.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._started_at = clock.monotonic() - rng.random() * TURN_SECONDS
        self._offset = rng.random()

    def current(self) -> int:
        """Return the number of the current turn."""
        elapsed = self._clock.monotonic() - self._started_at
        return math.floor(elapsed / TURN_SECONDS)

    def allowance(self, rate: float, turn: int, phase: float) -> int:
        """Return how many requests a rate allows in a turn.

        Args:
            rate: This VM's share, in requests per second.
            turn: The number of the turn.
            phase: Rates with different phases get their additional requests
                in different turns; a whole number changes nothing.
        """
        position = math.fmod(self._offset + phase + turn * GOLDEN_RATIO, 1)
        return math.floor(rate * TURN_SECONDS + position)

    def seconds_until_turn(self, turn: int) -> float:
        """Return when a turn starts, in seconds from now, 0 if it has."""
        starts_at = self._started_at + turn * TURN_SECONDS
        return max(starts_at - self._clock.monotonic(), 0)


class RateShare:
    """Counts the requests of this VM under one rate, turn by turn."""

    def __init__(self, turns: TurnClock, phase: float) -> None:
        self._turns = turns
        self._phase = phase
        self._turn = -1
        self._sent = 0

    def has_room(self, rate: float) -> bool:
        """Return whether a request is allowed now.

        Args:
            rate: This VM's current share, in requests per second.
        """
        turn = self._turns.current()
        sent = self._sent if turn == self._turn else 0
        return sent < self._turns.allowance(rate, turn, self._phase)

    def take(self, rate: float) -> bool:
        """Count a request if it is allowed now; not safe for threads."""
        if not self.has_room(rate):
            return False
        turn = self._turns.current()
        if turn != self._turn:
            self._turn, self._sent = turn, 0
        self._sent += 1
        return True

    def give_back(self) -> None:
        """Forget the last request, which was not sent."""
        if self._sent and self._turns.current() == self._turn:
            self._sent -= 1

    def seconds_until_room(self, rate: float) -> float:
        """Return when the next request is allowed, in seconds from now."""
        if self.has_room(rate):
            return 0
        current = self._turns.current()
        for turn in range(current + 1, current + MAX_TURNS_AHEAD):
            if self._turns.allowance(rate, turn, self._phase):
                return self._turns.seconds_until_turn(turn)
        return MAX_TURNS_AHEAD * TURN_SECONDS
