"""Lets a few VMs read the store and the others hear of changes from them.

Each call to the store is paid for, and a change ends all watches at once. So
in a large availability zone a few VMs read the store, chosen by rendezvous
hashing over the VMs that each knows, and the others wait at one of these. A
VM that reads says how old its knowledge is; if that is too old, if it does not
answer, or if it does not count itself among the readers, the asking VM reads
the store itself. So nobody relies on a VM that is cut off from the store.
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

#: In a zone with up to this many VMs all of them read.
MAX_VMS_ALL_READ = 4
READERS_PER_ZONE = 2
#: How long a reader holds a question if there is nothing new, in seconds.
HOLD = 1.5
#: Added to that before a reader counts as silent, in seconds.
GRACE_SECONDS = 0.7
#: Knowledge older than this is not relied on, in seconds.
MAX_AGE_SECONDS = 2.8
#: A reader that did not help is passed over for this long, in seconds.
SKIP_SECONDS = 8.0
#: Time between two looks at the age while a question is held, in seconds.
CHECK_INTERVAL_SECONDS = 0.25
#: Where VMs ask each other for changes.
CHANGES_PATH = '/changes'
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503

_log = logging.getLogger(__name__)


class _Question(msgspec.Struct, array_like=True):
    """Asks what changed after a revision."""

    after: int


class _Changes(msgspec.Struct, array_like=True):
    """All changes, or everything if `is_whole`; times are in seconds.

    `age` is how long ago the store was read, `doubt` how much longer removals
    are in doubt.
    """

    revision: int
    is_whole: bool
    age: float
    doubt: float
    values: tuple[PublishedValue, ...]


#: Asks a VM; returns status and body of its answer.
Post = Callable[[VmAddress, bytes], tuple[int, bytes]]

_question_decoder = msgspec.msgpack.Decoder(_Question)
_changes_decoder = msgspec.msgpack.Decoder(_Changes)


def zone_readers(own: Member, known: list[Member]) -> list[VmAddress]:
    """Return the VMs of an availability zone that read the store.

    Args:
        own: The VM that asks.
        known: The others that it knows, in any zone.

    Returns:
        Their addresses, the first choice first; `own` if all are to read.
    """
    beside = {
        one.address for one in known if one.zone == own.zone and not one.leaving
    }
    if len(beside) + 1 <= MAX_VMS_ALL_READ:
        return [own.address]
    return rank_addresses({own.address, *beside})[:READERS_PER_ZONE]


class RelayedReader(PlatformReader):
    """Reads the store, or asks a VM that does."""

    def __init__(
        self,
        store: PlatformReader,
        membership: Membership,
        clock: Clock,
        may_relay: bool,
        post: Post | None = None,
    ) -> None:
        """Make a reader; only if `may_relay` it ever asks other VMs."""
        self._post = post or _post
        #: How old the last reply was when it came, in seconds.
        self.reply_age_seconds: float = 0
        self.removals_held_until = float('-inf')
        self._may_relay = may_relay
        self._store = store
        self._membership = membership
        self._clock = clock
        self._passed_over_until: dict[VmAddress, float] = {}

    @property
    def is_reader(self) -> bool:
        """True if this VM is one of the readers of its zone."""
        own = self._membership.own
        return own.address in zone_readers(
            own, self._membership.known_members()
        )

    def watch(self, after: int) -> WatchReply:
        """Wait for changes, wherever they are to be had.

        Args:
            after: The revision up to which all is known; 0 for nothing.

        Returns:
            The changes.

        Raises:
            PlatformError: If neither a VM nor the store has an answer.
        """
        source = self._source()
        if source is not None:
            try:
                return self._ask(source, after)
            except (OSError, http.client.HTTPException, PlatformError) as error:
                self._pass_over(source, error)
        reply = self._store.watch(after)
        self.reply_age_seconds = 0
        return reply

    def _source(self) -> VmAddress | None:
        """Return the VM to ask, None to read the store."""
        own = self._membership.own
        readers = zone_readers(own, self._membership.known_members())
        if own.address in readers or not self._may_relay:
            return None
        now = self._clock.monotonic()
        usable = (
            one
            for one in readers
            if self._passed_over_until.get(one, now) <= now
        )
        return next(usable, None)

    def _pass_over(self, source: VmAddress, error: Exception) -> None:
        until = self._clock.monotonic() + SKIP_SECONDS
        self._passed_over_until = {
            **{
                vm: end
                for vm, end in self._passed_over_until.items()
                if end > self._clock.monotonic()
            },
            source: until,
        }
        _log.info(
            'changes not had from VM',
            extra={'vm': source, 'error': repr(error)},
        )

    def _ask(self, source: VmAddress, after: int) -> WatchReply:
        question = msgspec.msgpack.encode(_Question(after))
        status, body = self._post(source, question)
        if status != HTTP_OK:
            raise PlatformError(f'status {status}')
        try:
            changes = _changes_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError) as error:
            raise PlatformError(str(error)) from error
        if changes.age > MAX_AGE_SECONDS:
            raise PlatformError(f'knowledge {changes.age:.1f} s old')
        self.reply_age_seconds = changes.age
        self.removals_held_until = self._clock.monotonic() + changes.doubt
        return WatchReply(changes.revision, changes.values, changes.is_whole)


class StoreFreshness:
    """How far what this VM knows of the store can be relied on."""

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
        """Return how long ago the store was read, in seconds."""
        read_at = self._watch.health.last_read_at
        if read_at is None:
            return math.inf
        return (
            self._clock.monotonic() - read_at + self._reader.reply_age_seconds
        )

    def removals_held_until(self) -> float:
        """Return until when removals are in doubt, in monotonic seconds."""
        health = self._watch.health
        if health.failures:
            return self._clock.monotonic() + LAPSED_ENTRY_RETURN_SECONDS
        return max(
            health.recovered_at + LAPSED_ENTRY_RETURN_SECONDS,
            self._reader.removals_held_until,
        )

    def removals_held_seconds(self) -> float:
        """Return how much longer removals are in doubt, in seconds."""
        return max(self.removals_held_until() - self._clock.monotonic(), 0)


class ChangeServer:
    """Answers the VMs that ask this one for changes."""

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
        """Wake those who wait for a change."""
        with self._changed:
            self._changed.notify_all()

    def answer(self, body: bytes) -> tuple[int, bytes]:
        """Return status and content of the answer, once there is a change."""
        try:
            question = _question_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError) as error:
            _log.warning('odd question', extra={'error': str(error)})
            return HTTP_BAD_REQUEST, b''
        if not self._is_reader():
            return HTTP_UNAVAILABLE, b''
        self._hold(question.after)
        changes = self._changes(question.after)
        return HTTP_OK, msgspec.msgpack.encode(changes)

    def _hold(self, after: int) -> None:
        ends_at = self._clock.monotonic() + HOLD
        with self._changed:
            while not self._has_news(after, ends_at):
                self._changed.wait(CHECK_INTERVAL_SECONDS)

    def _has_news(self, after: int, ends_at: float) -> bool:
        is_over = self._clock.monotonic() >= ends_at
        is_old = self._freshness.age_seconds() > MAX_AGE_SECONDS
        return is_over or is_old or self._watch.health.revision > after

    def _changes(self, after: int) -> _Changes:
        # Taken before the values, so that none up to it is left out.
        revision = self._watch.health.revision
        is_whole = after < self._watch.complete_since
        held = self._register.values_for(self._register.digest())
        values = [one for one in held if one.revision > after]
        if is_whole:
            values = [one for one in held if one.body]
        return _Changes(
            revision,
            is_whole,
            self._freshness.age_seconds(),
            self._freshness.removals_held_seconds(),
            tuple(values),
        )


def _post(address: VmAddress, question: bytes) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(
        address, timeout=HOLD + GRACE_SECONDS
    )
    try:
        connection.request('POST', CHANGES_PATH, question)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()
