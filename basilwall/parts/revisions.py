"""A register that keeps the highest accepted revision of each key.

A lower revision never replaces a higher one, whatever its source. It is
therefore safe to receive values from the platform, from a stale replica of it
or from any peer, in any order and any number of times.

A value is checked before it is stored, and only stored values are sent to
peers. So the last valid value stays in force on this VM, and also on a VM that
starts later and gets its values from this one. A refused revision is stored
with its reason.
"""

import logging
import threading
from collections.abc import Callable, Iterable

from basilwall.parts.digests import Digest, KeyDigest, digest_hash
from basilwall.parts.refusals import NO_REFUSAL, Refusal, Refusals
from basilwall.parts.stored_values import StoredValues
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import NO_REVISION, Revision

#: Values of new keys are refused beyond this, a fifth of a VM's memory.
MAX_STORED_BYTES = 67_108_864
MAX_KEY_CHARACTERS = 256
#: Larger values are refused, unless the platform says that they may be.
MAX_BODY_BYTES = 1_048_576
#: Longest part of a key that is written to a log line.
MAX_LOGGED_CHARACTERS = 80

#: Puts a value in force; returns the reason if it refuses it, else ''.
Apply = Callable[[PublishedValue], str]
#: Called after a newer value was put in force.
Listener = Callable[[PublishedValue], None]

_log = logging.getLogger(__name__)


def accept_all(_: PublishedValue) -> str:
    """Accept any value."""
    return ''


def _want_all(_: str) -> bool:
    return True


class RevisionRegister:
    """The newest accepted value of each key.

    `malformed` counts the values and refusals that were dropped because their
    key, size or revision is invalid, or there is no room for another key.
    `stored` holds the values.
    """

    def __init__(
        self,
        apply: Apply = accept_all,
        max_body_bytes: int = MAX_BODY_BYTES,
        is_wanted: Callable[[str], bool] = _want_all,
    ) -> None:
        """Make an empty register.

        Args:
            apply: Puts a value in force, or refuses it.
            max_body_bytes: The largest size of a value.
            is_wanted: Returns whether values of a key are stored at all.
        """
        self._max_body_bytes = max_body_bytes
        self._is_wanted = is_wanted
        self.malformed = 0
        self._apply = apply
        self.stored = StoredValues()
        self._refusals = Refusals()
        self._hash: int | None = None
        self._listeners: list[Listener] = []
        self._lock = threading.Lock()
        # Values are applied one at a time, so that none is out of order.
        self._apply_lock = threading.RLock()

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each value that is put in force from now on."""
        self._listeners.append(listener)

    def offer(self, published: PublishedValue) -> bool:
        """Store a value if it is newer than the stored one and is accepted.

        Args:
            published: A value with the revision that the platform gave it.

        Returns:
            True if the value is now stored and in force.
        """
        key, revision = published.key, published.revision
        if not self._is_wanted(key):
            return False
        if len(published.body) > self._max_body_bytes:
            self._count_malformed(key)
            return False
        with self._apply_lock:
            if not self._is_newer(key, revision):
                return False
            reason = _apply_safely(self._apply, published)
            if reason:
                self._refuse(key, revision, reason)
                return False
            with self._lock:
                self.stored.put(published)
                self._refusals.discard_up_to(key, revision)
                self._hash = None
            _notify(self._listeners, published)
        return True

    def record_peer_refusal(self, key: str, refusal: Refusal) -> None:
        """Record that another VM refused a revision.

        It is only shown to operators. This VM checks the value itself if it
        arrives here.
        """
        if not self._is_acceptable(key, refusal.revision):
            self._count_malformed(key)
            return
        with self._lock:
            if refusal.revision > self._digest_of(key).highest:
                self._refusals.record(key, refusal)
                self._hash = None

    def refusals(self, keys: Iterable[str]) -> dict[str, Refusal]:
        """Return the refusals of revisions newer than the stored ones."""
        with self._lock:
            by_key = self._refusals.by_key
            return {key: by_key[key] for key in keys if key in by_key}

    def digest(self, keys: Iterable[str] | None = None) -> dict[str, KeyDigest]:
        """Return the digests of `keys`, by default of all keys."""
        with self._lock:
            if keys is None:
                keys = self.stored.by_key.keys() | self._refusals.by_key.keys()
            return {key: self._digest_of(key) for key in keys}

    def hash(self) -> int:
        """Return the hash of the whole digest."""
        cached = self._hash
        if cached is not None:
            return cached
        with self._lock:
            keys = self.stored.by_key.keys() | self._refusals.by_key.keys()
            fresh_hash = digest_hash(
                {key: self._digest_of(key) for key in keys}
            )
            self._hash = fresh_hash
        return fresh_hash

    def keys_to_request(self, theirs: Digest) -> list[str]:
        """Return the keys for which the digest of a peer has newer revisions.

        Args:
            theirs: The digest of the peer.

        Returns:
            Keys with a newer value or a newer refusal at the peer.
        """
        mine = self.digest(theirs)
        return [
            key
            for key, known in theirs.items()
            if self._is_newer(key, known.revision)
            or (
                known.refused > mine[key].highest
                and self._is_acceptable(key, known.refused)
            )
        ]

    def values_for(self, keys: Iterable[str]) -> list[PublishedValue]:
        """Return the stored values of `keys`; unknown keys are skipped."""
        with self._lock:
            by_key = self.stored.by_key
            return [by_key[key] for key in keys if key in by_key]

    def _is_newer(self, key: str, revision: Revision) -> bool:
        known = self.stored.known_revision(key)
        if known != NO_REVISION and revision <= known:
            return False
        if self._refusals.was_refused_locally(key, revision):
            return False
        if self._is_acceptable(key, revision):
            return True
        if revision != NO_REVISION:
            self._count_malformed(key)
        return False

    def _is_acceptable(self, key: str, revision: Revision) -> bool:
        stored, refused = self.stored.by_key, self._refusals.by_key
        is_known = key in stored or key in refused
        size_bytes = self.stored.size_bytes + self._refusals.size_bytes
        has_room = is_known or size_bytes < MAX_STORED_BYTES
        has_valid_key = 0 < len(key) <= MAX_KEY_CHARACTERS
        return has_room and has_valid_key and revision.is_valid

    def _count_malformed(self, key: str) -> None:
        self.malformed += 1
        _log.warning(
            'malformed value', extra={'key': key[:MAX_LOGGED_CHARACTERS]}
        )

    def _refuse(self, key: str, revision: Revision, reason: str) -> None:
        _log.warning(
            'value refused',
            extra={'key': key, 'revision': str(revision), 'reason': reason},
        )
        with self._lock:
            self._refusals.record_local(key, revision, reason)
            self._hash = None

    def _digest_of(self, key: str) -> KeyDigest:
        stored = self.stored.by_key.get(key)
        refusal = self._refusals.by_key.get(key, NO_REFUSAL)
        return KeyDigest(
            stored.revision if stored else NO_REVISION, refusal.revision
        )


def _apply_safely(apply: Apply, published: PublishedValue) -> str:
    """Apply a value; an error refuses it, so that others are still applied."""
    try:
        return apply(published)
    except Exception as error:
        _log.exception('value not applied', extra={'key': published.key})
        return repr(error)


def _notify(listeners: Iterable[Listener], published: PublishedValue) -> None:
    for listener in listeners:
        try:
            listener(published)
        except Exception:
            _log.exception('listener failed', extra={'key': published.key})
