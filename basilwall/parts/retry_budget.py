"""A budget for all attempts beyond the first, as a token bucket.

Retries and hedges draw on the same bucket, filled by a fraction of the first
attempts, so that the extra load on searchers stays a fixed share of the load
also when everything fails at once.
"""

import threading

#: Tokens a new or idle bucket holds, so that low rates can still retry.
DEFAULT_CAPACITY: float = 10


class RetryBudget:
    """Tokens earned by first attempts and spent by extra ones."""

    def __init__(
        self,
        fraction: float,
        capacity: float = DEFAULT_CAPACITY,
    ) -> None:
        self.fraction = fraction
        self._capacity = capacity
        self._tokens = capacity
        self._lock = threading.Lock()

    def earn(self, attempts: int = 1) -> None:
        """Credit the share that `attempts` first attempts are worth."""
        with self._lock:
            earned = self._tokens + self.fraction * attempts
            self._tokens = min(self._capacity, earned)

    def spend(self, keeps_reserve: bool = False) -> bool:
        """Take one token for an extra attempt, or return False.

        Args:
            keeps_reserve: Leave half of the bucket, for what needs it more.
        """
        reserve = self._capacity / 2 if keeps_reserve else 0
        with self._lock:
            if self._tokens < 1 + reserve:
                return False
            self._tokens -= 1
            return True
