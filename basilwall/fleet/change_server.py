"""Serves the changes of the store to other VMs."""

import logging
import threading
from collections.abc import Callable, Mapping, Sequence

import msgspec

from basilwall.configuration.client import PlatformError
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.fleet.changes import (
    Changes,
    ChangesRequest,
    RelayedValue,
    decode_relayed,
    decode_request,
    encode_changes,
)
from basilwall.fleet.http_calls import (
    HTTP_BAD_REQUEST,
    HTTP_OK,
    HTTP_UNAVAILABLE,
)
from basilwall.fleet.relayed_reader import (
    HOLD_SECONDS,
    MAX_AGE_SECONDS,
    StoreFreshness,
)
from basilwall.fleet.revision_messages import WireRevision, encode_revision
from basilwall.fleet.value_versions import ValueVersions
from basilwall.parts.clock import Clock
from basilwall.parts.revisions import RevisionRegister
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import Revision

#: Time between two checks of the age while a request is held open.
CHECK_INTERVAL_SECONDS = 0.25
#: Replies from this size on are logged.
MIN_LOGGED_BYTES = 16_384

_log = logging.getLogger(__name__)


class ChangeServer:
    """Serves the changes of the store to other VMs."""

    def __init__(
        self,
        register: RevisionRegister,
        watch: PlatformWatch,
        freshness: StoreFreshness,
        clock: Clock,
        is_reader: Callable[[], bool],
    ) -> None:
        self._register = register
        self._watch = watch
        self._freshness = freshness
        self._clock = clock
        self._is_reader = is_reader
        self._versions = ValueVersions()
        self._changed = threading.Condition()
        self._sent_bytes_lock = threading.Lock()
        #: Bytes of all replies to other VMs.
        self.sent_bytes = 0

    def note_change(self, published: PublishedValue) -> None:
        """Keep what the VMs have that are about to ask for a new value."""
        self._versions.note_change(published)

    def notify_waiting(self) -> None:
        """Wake the requests that wait for a later revision."""
        with self._changed:
            self._changed.notify_all()

    def answer(self, body: bytes) -> tuple[int, bytes]:
        """Answer a request for changes, once there is one or time is up.

        Args:
            body: The encoded request.

        Returns:
            The HTTP status and the body of the reply.
        """
        try:
            request = decode_request(body)
            after = decode_relayed(request.after)
        except PlatformError as error:
            _log.warning(
                'invalid request for changes', extra={'error': str(error)}
            )
            return HTTP_BAD_REQUEST, b''
        if not (request.is_catching_up or self._is_reader()):
            return HTTP_UNAVAILABLE, b''
        held_seconds = self._wait_for_change(after, request.hold_seconds)
        changes = self._changes(request, after, held_seconds)
        reply = encode_changes(changes)
        self._record_sent(request, changes, len(reply))
        return HTTP_OK, reply

    def _record_sent(
        self, request: ChangesRequest, changes: Changes, size: int
    ) -> None:
        with self._sent_bytes_lock:
            self.sent_bytes += size
        if size < MIN_LOGGED_BYTES:
            return
        _log.info(
            'changes relayed',
            extra={
                'after': request.after,
                'revision': changes.revision,
                'whole': changes.is_whole,
                'catching_up': request.is_catching_up,
                'held': round(changes.held_seconds, 2),
                'bytes': size,
            },
        )

    def _wait_for_change(self, after: Revision, hold_seconds: float) -> float:
        started_at = self._clock.monotonic()
        deadline = started_at + min(hold_seconds, HOLD_SECONDS)
        with self._changed:
            while not self._is_wait_over(after, deadline):
                self._changed.wait(CHECK_INTERVAL_SECONDS)
        return self._clock.monotonic() - started_at

    def _is_wait_over(self, after: Revision, deadline: float) -> bool:
        is_timed_out = self._clock.monotonic() >= deadline
        is_stale = self._freshness.age_seconds() > MAX_AGE_SECONDS
        return is_timed_out or is_stale or self._watch.health.revision > after

    def _changes(
        self, request: ChangesRequest, after: Revision, held_seconds: float
    ) -> Changes:
        # Read before the values, so that no value up to it is missing.
        revision = self._watch.health.revision
        age_seconds = self._freshness.age_seconds()
        stored = self._register.values_for(self._register.digest())
        # Removals up to then are not among the values any more.
        forgotten = self._register.stored.forgotten_revision
        is_whole = after < max(self._watch.complete_since, forgotten)
        live_keys: tuple[str, ...] = ()
        values = [
            published for published in stored if published.revision > after
        ]
        if is_whole and request.known_revisions is None:
            values = [published for published in stored if published.body]
        elif is_whole:
            live_keys = tuple(
                published.key for published in stored if published.body
            )
        return Changes(
            encode_revision(revision),
            is_whole,
            age_seconds,
            self._freshness.removals_held_seconds(),
            held_seconds,
            self._encode_values(values, request.known_revisions),
            live_keys,
        )

    def _encode_values(
        self,
        values: Sequence[PublishedValue],
        known_revisions: Mapping[str, WireRevision] | None,
    ) -> tuple[RelayedValue, ...]:
        encoded = tuple(
            self._versions.encode(published, known_revisions or {})
            for published in values
        )
        if known_revisions is None:
            # An older build expects a boolean.
            return tuple(
                msgspec.structs.replace(one, form=bool(one.form))
                for one in encoded
            )
        return encoded
