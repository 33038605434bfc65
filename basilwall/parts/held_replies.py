"""The accounts of the replies that one request still holds."""

import threading

from basilwall.parts.memory_budget import MemoryAccount


class HeldReplies:
    """Accounts of complete replies, until the caller has its answer.

    A reply that completes after `close` is held by nobody, so its account is
    released at once.
    """

    def __init__(self) -> None:
        self._accounts: list[MemoryAccount] = []
        self._is_closed = False
        self._lock = threading.Lock()

    def add(self, account: MemoryAccount) -> None:
        """Keep the account of a complete reply."""
        with self._lock:
            if not self._is_closed:
                self._accounts.append(account)
                return
        account.release()

    def keep_only(self, size: int) -> None:
        """Hold `size` bytes of all replies; the rest is no longer used."""
        with self._lock:
            for account in self._accounts:
                kept = min(size, account.held)
                account.resize(kept)
                size -= kept

    def close(self) -> None:
        """Release all accounts."""
        with self._lock:
            self._is_closed = True
            accounts, self._accounts = self._accounts, []
        for account in accounts:
            account.release()
