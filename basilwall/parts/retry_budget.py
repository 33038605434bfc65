"""Budget for retries and hedges, as a token bucket.

Retries and hedges (extra attempts) share one bucket. Each first attempt adds a
fraction of a token, so the extra load on searchers stays a fixed share of the
load even if all attempts fail at once.
"""

import threading

#: Tokens of a full bucket, so that retries are possible at low rates too.
DEFAULT_CAPACITY: float = 10


class RetryBudget:
    """Tokens that first attempts earn and extra attempts spend.

    Args:
        fraction: Tokens that a first attempt earns.
        capacity: Tokens of a full bucket; a new bucket is full.
    """

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
        """Add the tokens for `attempts` first attempts."""
        with self._lock:
            earned = self._tokens + self.fraction * attempts
            self._tokens = min(self._capacity, earned)

    def spend(self, keeps_reserve: bool = False) -> bool:
        """Take one token for an extra attempt.

        Args:
            keeps_reserve: Leave half of the bucket to more important attempts.

        Returns:
            True if a token was taken and the attempt may be sent.
        """
        reserve = self._capacity / 2 if keeps_reserve else 0
        with self._lock:
            if self._tokens < 1 + reserve:
                return False
            self._tokens -= 1
            return True
