"""A register that keeps the highest accepted revision of each key.

A lower revision never replaces a higher one, whoever brings it. That one rule
makes it safe to learn a value from the platform, from a stale reader of it, or
from any peer, in any order and any number of times.

A value is checked before it is held, and only held values are given to peers:
so the last good value stays in force here, and also on a VM that starts later
and learns from this one. A refused revision is remembered with its reason.
"""

import logging
import threading
from collections.abc import Callable, Iterable

from basilwall.parts.digests import Digest, KeyDigest, digest_hash
from basilwall.parts.refusals import NO_REFUSAL, Refusal, Refusals
from basilwall.records.catalogue import PublishedValue

#: Revisions above this are no counters of a platform.
MAX_REVISION = 9_007_199_254_740_992
MAX_KEYS = 4096
MAX_KEY_CHARACTERS = 256
MAX_BODY_BYTES = 1_048_576
#: Longest key in a log line, in characters.
MAX_LOGGED_CHARACTERS = 80

#: Puts a value in force; returns the reason if it is refused, else ''.
Apply = Callable[[PublishedValue], str]
#: Called after a newer value was put in force.
Listener = Callable[[PublishedValue], None]

_log = logging.getLogger(__name__)


def accept_all(_: PublishedValue) -> str:
    """Refuse no value."""
    return ''


class RevisionRegister:
    """The newest accepted value of each key."""

    def __init__(self, apply: Apply = accept_all) -> None:
        self.malformed = 0
        self._apply = apply
        self._by_key: dict[str, PublishedValue] = {}
        self._refusals = Refusals()
        self._hash: int | None = None
        self._listeners: list[Listener] = []
        self._lock = threading.Lock()
        # One value after the other, so that none is applied out of order.
        self._applying = threading.RLock()

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each value that is put in force from now on."""
        self._listeners.append(listener)

    def offer(self, published: PublishedValue) -> bool:
        """Take in a value if it is newer than the one held and is accepted.

        Args:
            published: A value with the revision that the platform gave it.

        Returns:
            True if the value is now held and in force.
        """
        key, revision = published.key, published.revision
        if len(published.body) > MAX_BODY_BYTES:
            self._pass_over(key)
            return False
        with self._applying:
            if not self._is_news(key, revision):
                return False
            reason = self._apply(published)
            if reason:
                self._refuse(key, revision, reason)
                return False
            with self._lock:
                self._by_key[key] = published
                self._refusals.discard_up_to(key, revision)
                self._hash = None
            _tell(self._listeners, published)
        return True

    def record_peer_refusal(self, key: str, refusal: Refusal) -> None:
        """Take in that another VM refused a revision.

        The word of another VM is only shown to operators: a value that
        arrives here is checked here all the same.
        """
        if not self._is_possible(key, refusal.revision):
            self._pass_over(key)
            return
        with self._lock:
            if refusal.revision > self._known(key).highest:
                self._refusals.record(key, refusal)
                self._hash = None

    def refusals(self, keys: Iterable[str]) -> dict[str, Refusal]:
        """Return the refusals of revisions newer than those held."""
        with self._lock:
            by_key = self._refusals.by_key
            return {key: by_key[key] for key in keys if key in by_key}

    def digest(self, keys: Iterable[str] | None = None) -> dict[str, KeyDigest]:
        """Return what is known of `keys`, by default of all."""
        with self._lock:
            if keys is None:
                keys = self._by_key.keys() | self._refusals.by_key.keys()
            return {key: self._known(key) for key in keys}

    def hash(self) -> int:
        """Return the hash of the whole digest."""
        held = self._hash
        if held is not None:
            return held
        with self._lock:
            keys = self._by_key.keys() | self._refusals.by_key.keys()
            fresh = digest_hash({key: self._known(key) for key in keys})
            self._hash = fresh
        return fresh

    def keys_to_request(self, theirs: Digest) -> list[str]:
        """Return the keys of which the owner of a digest knows more."""
        mine = self.digest(theirs)
        return [
            key
            for key, known in theirs.items()
            if self._is_news(key, known.revision)
            or (
                known.refused > mine[key].highest
                and self._is_possible(key, known.refused)
            )
        ]

    def values_for(self, keys: Iterable[str]) -> list[PublishedValue]:
        """Return the values held for those of `keys` that are known."""
        with self._lock:
            return [self._by_key[key] for key in keys if key in self._by_key]

    def _is_news(self, key: str, revision: int) -> bool:
        held = self._by_key.get(key)
        if held is not None and held.revision >= revision:
            return False
        if self._refusals.was_refused_locally(key, revision):
            return False
        if self._is_possible(key, revision):
            return True
        if revision:
            self._pass_over(key)
        return False

    def _is_possible(self, key: str, revision: int) -> bool:
        held, refused = self._by_key, self._refusals.by_key
        is_known = key in held or key in refused
        has_room = is_known or len(held) + len(refused) < MAX_KEYS
        has_form = 0 < len(key) <= MAX_KEY_CHARACTERS
        return has_room and has_form and 0 < revision <= MAX_REVISION

    def _pass_over(self, key: str) -> None:
        self.malformed += 1
        _log.warning(
            'malformed value', extra={'key': key[:MAX_LOGGED_CHARACTERS]}
        )

    def _refuse(self, key: str, revision: int, reason: str) -> None:
        _log.warning(
            'value refused',
            extra={'key': key, 'revision': revision, 'reason': reason},
        )
        with self._lock:
            self._refusals.record_local(key, revision, reason)
            self._hash = None

    def _known(self, key: str) -> KeyDigest:
        held = self._by_key.get(key)
        refusal = self._refusals.by_key.get(key, NO_REFUSAL)
        return KeyDigest(held.revision if held else 0, refusal.revision)


def _tell(listeners: Iterable[Listener], published: PublishedValue) -> None:
    for listener in listeners:
        try:
            listener(published)
        except Exception:
            _log.exception('listener failed', extra={'key': published.key})
