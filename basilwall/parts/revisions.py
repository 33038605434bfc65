"""A register that keeps the highest revision seen of each key.

A lower revision never replaces a higher one, whoever brings it. That one rule
makes it safe to learn a value from the platform, from a stale reader of it, or
from any peer, in any order and any number of times.
"""

import threading
from collections.abc import Callable, Iterable

from basilwall.records.catalogue import PublishedValue

#: Called after a newer value was taken in.
Listener = Callable[[PublishedValue], None]


class RevisionRegister:
    """The newest known value of each key."""

    def __init__(self) -> None:
        self._by_key: dict[str, PublishedValue] = {}
        self._listeners: list[Listener] = []
        self._lock = threading.Lock()

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each value that is taken in from now on."""
        self._listeners.append(listener)

    def offer(self, published: PublishedValue) -> bool:
        """Take in a value if it is newer than the one held.

        Args:
            published: A value with the revision that the platform gave it.

        Returns:
            True if the value was newer and is now held.
        """
        with self._lock:
            held = self._by_key.get(published.key)
            if held is not None and held.revision >= published.revision:
                return False
            self._by_key[published.key] = published
        for listener in self._listeners:
            listener(published)
        return True

    def get(self, key: str) -> PublishedValue | None:
        """Return the value held for `key`, or None."""
        return self._by_key.get(key)

    def digest(self) -> dict[str, int]:
        """Return the revision held of each key."""
        with self._lock:
            return {key: held.revision for key, held in self._by_key.items()}

    def newer_than(self, digest: dict[str, int]) -> list[PublishedValue]:
        """Return the values that the owner of `digest` lacks."""
        with self._lock:
            return [
                held
                for key, held in self._by_key.items()
                if held.revision > digest.get(key, -1)
            ]

    def older_than(self, digest: dict[str, int]) -> list[str]:
        """Return the keys of which the owner of `digest` holds more."""
        mine = self.digest()
        return [
            key
            for key, revision in digest.items()
            if revision > mine.get(key, -1)
        ]

    def pick(self, keys: Iterable[str]) -> list[PublishedValue]:
        """Return the values held for those of `keys` that are known."""
        with self._lock:
            return [self._by_key[key] for key in keys if key in self._by_key]
