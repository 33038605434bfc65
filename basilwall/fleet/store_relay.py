"""Relays changes of the store from a few reading VMs to the others.

Each call to the store is paid for, and a change ends all watches at once. So
in a large availability zone only a few VMs (the readers) read the store. They
are chosen by rendezvous hashing over the VMs that each VM knows. The other VMs
watch one of the readers.

A reader sends the age of its data. If the data is too old, if the reader
doesn't answer, or if it doesn't count itself among the readers, the watching
VM reads the store itself. So no VM relies on one that is cut off from the
store.
"""

import http.client
import logging
import math
import threading
from collections.abc import Callable

import msgspec

from basilwall.configuration.client import (
    PlatformError,
    PlatformReader,
    WatchReply,
)
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.parts.clock import Clock
from basilwall.parts.membership import Member, Membership
from basilwall.parts.rendezvous import rank_addresses
from basilwall.parts.revisions import RevisionRegister
from basilwall.records.catalogue import PublishedValue
from basilwall.records.ids import VmAddress
from basilwall.routing.routing_state import LAPSED_ENTRY_RETURN_SECONDS

#: In a zone with up to this many VMs, all of them read the store.
MAX_VMS_ALL_READ = 4
READERS_PER_ZONE = 2
#: Longest time that a reader holds a request open without a change.
HOLD_SECONDS = 1.5
#: Further time after which a request to a reader times out.
GRACE_SECONDS = 0.7
#: Data of the store that is older than this is not used.
MAX_AGE_SECONDS = 2.8
#: Time for which a reader is skipped after a failed request.
SKIP_SECONDS = 8.0
#: Time between two checks of the age while a request is held open.
CHECK_INTERVAL_SECONDS = 0.25
#: Name of the store in the log line of received changes.
STORE_SOURCE = 'store'
#: HTTP path at which VMs request changes.
CHANGES_PATH = '/changes'
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503

_log = logging.getLogger(__name__)


class _ChangesRequest(msgspec.Struct, array_like=True):
    """Requests the changes after a revision."""

    after: int


class _Changes(msgspec.Struct, array_like=True):
    """The changes after a revision, or all values if `is_whole`.

    `age` is the time since the store was read. `removals_held_seconds` is the
    time for which removals are still held back. Both are in seconds.
    """

    revision: int
    is_whole: bool
    age: float
    removals_held_seconds: float
    values: tuple[PublishedValue, ...]


#: Sends a request to a VM; returns the HTTP status and body of the reply.
Post = Callable[[VmAddress, bytes], tuple[int, bytes]]

_request_decoder = msgspec.msgpack.Decoder(_ChangesRequest)
_changes_decoder = msgspec.msgpack.Decoder(_Changes)


def zone_readers(own: Member, known: list[Member]) -> list[VmAddress]:
    """Return the VMs of an availability zone that read the store.

    Args:
        own: This VM.
        known: The other VMs that it knows, in any zone.

    Returns:
        Their addresses in order of preference; only that of `own` if all VMs
        of the zone are to read.
    """
    neighbours = {
        member.address
        for member in known
        if member.zone == own.zone and not member.leaving
    }
    if len(neighbours) + 1 <= MAX_VMS_ALL_READ:
        return [own.address]
    return rank_addresses({own.address, *neighbours})[:READERS_PER_ZONE]


class RelayedReader(PlatformReader):
    """Reads the store, or gets its changes from a VM that reads it.

    `removals_held_until` is the end of the time for which the last reader
    holds removals back, in monotonic seconds of this VM.
    """

    def __init__(
        self,
        store: PlatformReader,
        membership: Membership,
        clock: Clock,
        may_relay: bool,
        post: Post | None = None,
    ) -> None:
        """Create a reader.

        Args:
            store: Reads the store.
            membership: The VMs that this VM knows.
            clock: Dates the requests.
            may_relay: Whether changes may come from other VMs.
            post: Sends a request to a VM; HTTP by default.
        """
        self._post = post or _post
        #: Age of the data in the last reply when it arrived, in seconds.
        self.reply_age_seconds: float = 0
        self.removals_held_until = float('-inf')
        self._may_relay = may_relay
        self._store = store
        self._membership = membership
        self._clock = clock
        self._skipped_until: dict[VmAddress, float] = {}

    @property
    def is_reader(self) -> bool:
        """True if this VM is a reader of its zone."""
        own = self._membership.own
        return own.address in zone_readers(
            own, self._membership.known_members()
        )

    def watch(self, after: int) -> WatchReply:
        """Wait for changes, at a reader of the zone or at the store.

        Args:
            after: The revision up to which all changes are known; 0 for none.

        Returns:
            The changes.

        Raises:
            PlatformError: If neither a VM nor the store answered.
        """
        reader = self._select_reader()
        started_at = self._clock.monotonic()
        if reader is not None:
            try:
                reply = self._fetch_changes(reader, after)
            except (OSError, http.client.HTTPException, PlatformError) as error:
                self._skip(reader, error)
            else:
                self._log_changes(reader, reply, after, started_at)
                return reply
            started_at = self._clock.monotonic()
        reply = self._store.watch(after)
        self.reply_age_seconds = 0
        self._log_changes(STORE_SOURCE, reply, after, started_at)
        return reply

    def _log_changes(
        self,
        source: str,
        reply: WatchReply,
        after: int,
        started_at: float,
    ) -> None:
        if not reply.values and reply.revision >= after:
            return
        _log.info(
            'changes received',
            extra={
                'source': source,
                'after': after,
                'revision': reply.revision,
                'values': len(reply.values),
                'bytes': sum(len(one.body) for one in reply.values),
                'whole': reply.is_whole,
                'age': round(self.reply_age_seconds, 2),
                'seconds': round(self._clock.monotonic() - started_at, 2),
            },
        )

    def _select_reader(self) -> VmAddress | None:
        """Return the VM to request changes from, None to read the store."""
        own = self._membership.own
        readers = zone_readers(own, self._membership.known_members())
        if own.address in readers or not self._may_relay:
            return None
        now = self._clock.monotonic()
        usable = (
            address
            for address in readers
            if self._skipped_until.get(address, now) <= now
        )
        return next(usable, None)

    def _skip(self, reader: VmAddress, error: Exception) -> None:
        skipped_until = self._clock.monotonic() + SKIP_SECONDS
        self._skipped_until = {
            **{
                vm: end
                for vm, end in self._skipped_until.items()
                if end > self._clock.monotonic()
            },
            reader: skipped_until,
        }
        _log.info(
            'changes not received from VM',
            extra={'vm': reader, 'error': repr(error)},
        )

    def _fetch_changes(self, reader: VmAddress, after: int) -> WatchReply:
        request = msgspec.msgpack.encode(_ChangesRequest(after))
        status, body = self._post(reader, request)
        if status != HTTP_OK:
            raise PlatformError(f'HTTP status {status}')
        try:
            changes = _changes_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError) as error:
            raise PlatformError(str(error)) from error
        if changes.age > MAX_AGE_SECONDS:
            raise PlatformError(f'data of the store {changes.age:.1f} s old')
        self.reply_age_seconds = changes.age
        self.removals_held_until = (
            self._clock.monotonic() + changes.removals_held_seconds
        )
        return WatchReply(changes.revision, changes.values, changes.is_whole)


class StoreFreshness:
    """Age of this VM's data of the store, and how long removals are held."""

    def __init__(
        self,
        watch: PlatformWatch,
        reader: RelayedReader,
        clock: Clock,
    ) -> None:
        self._watch = watch
        self._reader = reader
        self._clock = clock

    def age_seconds(self) -> float:
        """Return the time since the store was read, in seconds."""
        read_at = self._watch.health.last_read_at
        if read_at is None:
            return math.inf
        return (
            self._clock.monotonic() - read_at + self._reader.reply_age_seconds
        )

    def removals_held_until(self) -> float:
        """Return until when removals are held back, in monotonic seconds.

        Removals are held back after the store was unreachable, because entries
        of live searchers may have lapsed meanwhile.
        """
        health = self._watch.health
        if health.failures:
            return self._clock.monotonic() + LAPSED_ENTRY_RETURN_SECONDS
        return max(
            health.recovered_at + LAPSED_ENTRY_RETURN_SECONDS,
            self._reader.removals_held_until,
        )

    def removals_held_seconds(self) -> float:
        """Return for how much longer removals are held back, in seconds."""
        return max(self.removals_held_until() - self._clock.monotonic(), 0)


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
        self._changed = threading.Condition()

    def notify_change(self, _: PublishedValue) -> None:
        """Wake the requests that wait for a change."""
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
            request = _request_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError) as error:
            _log.warning(
                'invalid request for changes', extra={'error': str(error)}
            )
            return HTTP_BAD_REQUEST, b''
        if not self._is_reader():
            return HTTP_UNAVAILABLE, b''
        self._wait_for_change(request.after)
        changes = self._changes(request.after)
        return HTTP_OK, msgspec.msgpack.encode(changes)

    def _wait_for_change(self, after: int) -> None:
        deadline = self._clock.monotonic() + HOLD_SECONDS
        with self._changed:
            while not self._is_wait_over(after, deadline):
                self._changed.wait(CHECK_INTERVAL_SECONDS)

    def _is_wait_over(self, after: int, deadline: float) -> bool:
        is_timed_out = self._clock.monotonic() >= deadline
        is_stale = self._freshness.age_seconds() > MAX_AGE_SECONDS
        return is_timed_out or is_stale or self._watch.health.revision > after

    def _changes(self, after: int) -> _Changes:
        # Read before the values, so that no value up to it is missing.
        revision = self._watch.health.revision
        is_whole = after < self._watch.complete_since
        stored = self._register.values_for(self._register.digest())
        values = [
            published for published in stored if published.revision > after
        ]
        if is_whole:
            values = [published for published in stored if published.body]
        return _Changes(
            revision,
            is_whole,
            self._freshness.age_seconds(),
            self._freshness.removals_held_seconds(),
            tuple(values),
        )


def _post(address: VmAddress, request: bytes) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(
        address, timeout=HOLD_SECONDS + GRACE_SECONDS
    )
    try:
        connection.request('POST', CHANGES_PATH, request)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()
