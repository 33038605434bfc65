"""Reads the store, or gets its changes from a VM that reads it.

Each call to the store is paid for, and a change ends all watches at once. So
in a large region only a few VMs (the readers) read the store: those with the
widest links, since these relay large values soonest, chosen by rendezvous
hashing among equals. The other VMs watch one of the readers.

A reader sends the age of its data. A VM waits for a reader only until its own
data has a certain age, whatever the reader does meanwhile, and then reads the
store itself. It also does so if the reader's data is too old or if the reader
doesn't count itself among the readers. So no VM relies on one that is cut off
from the store.
"""

import http.client
import logging
import math

from basilwall.configuration.client import (
    PlatformError,
    PlatformReader,
    WatchReply,
)
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.configuration.transfer_progress import TransferProgress
from basilwall.fleet.change_client import ChangeClient, log_changes
from basilwall.fleet.changes import ChangesRequest
from basilwall.fleet.http_calls import CallLimits
from basilwall.fleet.revision_messages import encode_revision
from basilwall.parts.clock import Clock
from basilwall.parts.membership import Member, Membership
from basilwall.parts.rendezvous import rank_addresses
from basilwall.records.ids import VmAddress
from basilwall.records.revision import Revision
from basilwall.routing.location import Distance, VmLocation
from basilwall.routing.routing_state import LAPSED_ENTRY_RETURN_SECONDS

#: In a region with up to this many VMs, all of them read the store.
MAX_VMS_ALL_READ = 4
MIN_READERS_PER_REGION = 2
#: A region has at least one reader for this many VMs, since the link of a
#: reader bears only so many followers.
VMS_PER_READER = 13
#: Longest time that a reader holds a request open without a change.
HOLD_SECONDS = 1.5
#: Further time after which a reader that has not replied is given up.
GRACE_SECONDS = 0.7
#: Longest transfer of a reply of a reader.
MAX_TRANSFER_SECONDS = 3.0
#: Data of the store that is older than this is not used.
MAX_AGE_SECONDS = 2.8
#: A VM whose data has this age stops waiting for a reader.
MAX_WAITING_AGE_SECONDS = 3.5
#: A reader is not asked if less time than this is left for it.
MIN_CALL_SECONDS = 0.3
#: Time for which a reader is skipped after a failed request.
SKIP_SECONDS = 8.0
#: Name of the store in the log line of received changes.
STORE_SOURCE = 'store'

_log = logging.getLogger(__name__)


def region_readers(
    own: Member, known: list[Member], location: VmLocation
) -> list[VmAddress]:
    """Return the VMs of a region that read the store.

    Args:
        own: This VM.
        known: The other VMs that it knows, in any region.
        location: Tells which availability zones are in the region of this VM.

    Returns:
        Their addresses in order of preference; only that of `own` if all VMs
        of the region are to read.
    """
    link_mbps_by_address = {
        member.address: member.link_mbps
        for member in known
        if _is_in_region(member, location) and not member.leaving
    }
    link_mbps_by_address[own.address] = own.link_mbps
    if len(link_mbps_by_address) <= MAX_VMS_ALL_READ:
        return [own.address]
    by_size = math.ceil(len(link_mbps_by_address) / VMS_PER_READER)
    count = max(by_size, MIN_READERS_PER_REGION)
    ranked = rank_addresses(link_mbps_by_address)
    ranked.sort(key=lambda address: -link_mbps_by_address[address])
    return ranked[:count]


def _is_in_region(member: Member, location: VmLocation) -> bool:
    return location.distance_to(member.zone) is not Distance.OTHER_REGION


class RelayedReader(PlatformReader):
    """Reads the store, or gets its changes from a VM that reads it.

    `removals_held_until` is the end of the time for which the VMs that relayed
    changes hold removals back, in monotonic seconds of this VM.
    """

    def __init__(
        self,
        store: PlatformReader,
        membership: Membership,
        location: VmLocation,
        clock: Clock,
        may_relay: bool,
        client: ChangeClient,
    ) -> None:
        """Create a reader.

        Args:
            store: Reads the store.
            membership: The VMs that this VM knows.
            location: Where this VM is.
            clock: Dates the requests.
            may_relay: Whether changes may come from other VMs.
            client: Gets changes from other VMs.
        """
        #: Age of the data in the last reply when it arrived, in seconds.
        self.reply_age_seconds: float = 0
        self.removals_held_until = -math.inf
        self._client = client
        self._may_relay = may_relay
        self._store = store
        self._membership = membership
        self._location = location
        self._clock = clock
        self._skipped_until: dict[VmAddress, float] = {}
        #: When the data in the last reply was current, in monotonic seconds.
        self._current_at: float | None = None

    @property
    def is_reader(self) -> bool:
        """True if this VM is a reader of its region."""
        return self._membership.own.address in self._readers()

    def watch(self, after: Revision) -> WatchReply:
        """Wait for changes, at a reader of the region or at the store.

        Args:
            after: The revision up to which all changes are known;
                `NO_REVISION` for none.

        Returns:
            The changes.

        Raises:
            PlatformError: If neither a VM nor the store answered.
        """
        reader = self._select_reader()
        if reader is not None:
            asked_at = self._clock.monotonic()
            try:
                return self._watch_reader(reader, after)
            except (OSError, http.client.HTTPException, PlatformError) as error:
                self._skip(reader, error, asked_at)
        started_at = self._clock.monotonic()
        reply = self._store.watch(after)
        if reply.was_silent:
            # The readers were cut off from the store like this VM.
            self._skipped_until.clear()
        self._record_reply(
            STORE_SOURCE, reply, started_at, self._clock.monotonic()
        )
        return reply

    def hold_removals(self, seconds: float) -> None:
        """Hold removals back for as long as the VM that relayed them."""
        self.removals_held_until = max(
            self.removals_held_until, self._clock.monotonic() + seconds
        )

    def _watch_reader(self, reader: VmAddress, after: Revision) -> WatchReply:
        seconds_left = self._seconds_left()
        hold_seconds = max(min(HOLD_SECONDS, seconds_left - GRACE_SECONDS), 0)
        started_at = self._clock.monotonic()
        relayed = self._client.fetch(
            reader,
            ChangesRequest(encode_revision(after), hold_seconds),
            CallLimits(
                min(hold_seconds + GRACE_SECONDS, seconds_left),
                MAX_TRANSFER_SECONDS,
            ),
        )
        if relayed.age > MAX_AGE_SECONDS:
            raise PlatformError(f'data of the store {relayed.age:.1f} s old')
        self.hold_removals(relayed.removals_held_seconds)
        # The transfer may have been slow, so the age is counted from the
        # earliest time at which the reply can have been sent.
        current_at = started_at + relayed.held_seconds - relayed.age
        self._record_reply(reader, relayed.reply, started_at, current_at)
        return relayed.reply

    def _select_reader(self) -> VmAddress | None:
        """Return the VM to request changes from, None to read the store."""
        own = self._membership.own
        readers = self._readers()
        if own.address in readers or not self._may_relay:
            return None
        if self._seconds_left() < MIN_CALL_SECONDS:
            return None
        now = self._clock.monotonic()
        usable = (
            address
            for address in rank_addresses(readers, salt=own.address)
            if self._skipped_until.get(address, now) <= now
        )
        return next(usable, None)

    def _readers(self) -> list[VmAddress]:
        membership = self._membership
        return region_readers(
            membership.own, membership.known_members(), self._location
        )

    def _seconds_left(self) -> float:
        """Return how much longer this VM may wait for a reader."""
        if self._current_at is None:
            return MAX_WAITING_AGE_SECONDS
        age_seconds = self._clock.monotonic() - self._current_at
        return MAX_WAITING_AGE_SECONDS - age_seconds

    def _record_reply(
        self,
        source: str,
        reply: WatchReply,
        started_at: float,
        current_at: float,
    ) -> None:
        now = self._clock.monotonic()
        self._current_at = current_at
        self.reply_age_seconds = now - current_at
        log_changes(source, reply, self.reply_age_seconds, now - started_at)

    def _skip(
        self, reader: VmAddress, error: Exception, asked_at: float
    ) -> None:
        now = self._clock.monotonic()
        self._skipped_until = {
            **{vm: end for vm, end in self._skipped_until.items() if end > now},
            reader: now + SKIP_SECONDS,
        }
        _log.info(
            'changes not received from VM',
            extra={
                'vm': reader,
                'error': repr(error),
                'seconds': round(now - asked_at, 2),
            },
        )


class StoreFreshness:
    """Age of this VM's data of the store, and how long removals are held."""

    def __init__(
        self,
        watch: PlatformWatch,
        reader: RelayedReader,
        clock: Clock,
        progress: TransferProgress,
    ) -> None:
        self._watch = watch
        self._reader = reader
        self._clock = clock
        self._progress = progress

    def age_seconds(self) -> float:
        """Return the time since the store was read, in seconds.

        While a reply of the store is being received, it is the time since its
        last piece came.
        """
        read_at = self._watch.health.last_read_at
        if read_at is None:
            return math.inf
        known_at = read_at - self._reader.reply_age_seconds
        known_at = max(known_at, self._progress.contact_at())
        return self._clock.monotonic() - known_at

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
