"""A limit on the memory that all messages of a process occupy together.

Each message has an account, which says how much it occupies now. The limit is
shared so that neither one message, nor those of one owner, nor large ones can
take it from all others:

- the first `SMALL_BYTES` of an account may use the whole limit, what goes
  beyond only `LARGE_RATIO` of it;
- one account may hold `ACCOUNT_RATIO`, all accounts of one owner
  `OWNER_RATIO` of it.

An account that finds no room may wait for it. Of those that wait for one owner
the most urgent gets it first, and of equals the one whose deadline comes first.
"""

import itertools
import math
import threading
from collections import Counter
from dataclasses import dataclass
from typing import NewType

#: Whose messages may hold only a part of the limit together.
MemoryOwner = NewType('MemoryOwner', str)

NO_OWNER = MemoryOwner('')
#: Accounts up to this size are small.
SMALL_BYTES = 16_384
LARGE_RATIO = 0.75
ACCOUNT_RATIO = 0.25
OWNER_RATIO = 0.5


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Who gets room first: the lowest `rank`, then the earliest `deadline`.

    `rank` is 0 for the most urgent, `deadline` in monotonic seconds.
    """

    rank: int = 0
    deadline: float = math.inf


DEFAULT_URGENCY = Urgency()


class MemoryBudget:
    """Memory in bytes; `used` is what all accounts hold, at most `limit`."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._used_by_owner: Counter[MemoryOwner] = Counter()
        self._waiting_by_number: dict[int, MemoryAccount] = {}
        self._numbers = itertools.count()
        self._lock = threading.Lock()

    @property
    def account_limit(self) -> int:
        """The most that one account may hold, in bytes."""
        return int(self.limit * ACCOUNT_RATIO)

    def account(
        self,
        owner: MemoryOwner = NO_OWNER,
        urgency: Urgency = DEFAULT_URGENCY,
    ) -> 'MemoryAccount':
        """Open an account that holds nothing yet."""
        return MemoryAccount(self, owner, urgency, next(self._numbers))

    def is_awaited(self) -> bool:
        """Return whether an account waits for room."""
        return bool(self._waiting_by_number)

    def try_resize(
        self, account: 'MemoryAccount', size: int, *, may_wait: bool
    ) -> bool:
        """Let an account hold `size` bytes, if there is room.

        Args:
            account: The account.
            size: What it is to hold in all.
            may_wait: Whether it keeps its place among those that wait.

        Returns:
            False if it holds as much as before.
        """
        with self._lock:
            if self._has_room(account, size):
                self._waiting_by_number.pop(account.number, None)
                self._hold(account, size)
                return True
            if may_wait:
                self._waiting_by_number[account.number] = account
            return False

    def release(self, account: 'MemoryAccount') -> None:
        """Let an account hold nothing, and end its wait."""
        with self._lock:
            self._waiting_by_number.pop(account.number, None)
            self._hold(account, 0)

    def _hold(self, account: 'MemoryAccount', size: int) -> None:
        growth = size - account.held
        account.held = size
        self.used += growth
        self._used_by_owner[account.owner] += growth
        if not self._used_by_owner[account.owner]:
            self._used_by_owner.pop(account.owner)

    def _has_room(self, account: 'MemoryAccount', size: int) -> bool:
        growth = size - account.held
        if growth <= 0:
            return True
        used = self.used + growth
        if size <= SMALL_BYTES:
            return used <= self.limit
        used_by_owner = self._used_by_owner[account.owner] + growth
        return (
            size <= self.limit * ACCOUNT_RATIO
            and used <= self.limit * LARGE_RATIO
            and used_by_owner <= self.limit * OWNER_RATIO
            and not self._is_preceded(account)
        )

    def _is_preceded(self, account: 'MemoryAccount') -> bool:
        """Return whether another account of its owner gets room first."""
        return any(
            other.owner == account.owner
            and (other.urgency, other.number)
            < (account.urgency, account.number)
            for other in self._waiting_by_number.values()
        )


class MemoryAccount:
    """What one message occupies, in bytes; `held` is counted now."""

    def __init__(
        self,
        budget: MemoryBudget,
        owner: MemoryOwner,
        urgency: Urgency,
        number: int,
    ) -> None:
        self.owner = owner
        self.urgency = urgency
        self.number = number
        self.held = 0
        self._budget = budget

    @property
    def limit(self) -> int:
        """The most that it may ever hold, in bytes."""
        return self._budget.account_limit

    def resize(self, size: int) -> bool:
        """Hold `size` bytes in all; False if there is no room."""
        return self._budget.try_resize(self, size, may_wait=False)

    def resize_or_wait(self, size: int) -> bool:
        """Hold `size` bytes in all, or wait for room until asked again."""
        return self._budget.try_resize(self, size, may_wait=True)

    def release(self) -> None:
        """Hold nothing; it may be called twice."""
        self._budget.release(self)
