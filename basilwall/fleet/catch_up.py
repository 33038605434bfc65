"""Catches up with other VMs if this VM's own reads of the store fall behind.

VMs tell each other the revision that they know. A VM that hears of a higher
one, if only once, gets the changes from a VM that knows it, unless its own
read brings them first. This way does not depend on the one by which a VM
usually reads: a call that hangs, or a store that turns this VM away, delays no
change for long.
"""

import http.client
import logging
import threading
from functools import partial

from basilwall.configuration.client import PlatformError
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.fleet.change_client import ChangeClient, log_changes
from basilwall.fleet.changes import ChangesRequest
from basilwall.fleet.http_calls import CallLimits
from basilwall.fleet.relayed_reader import RelayedReader
from basilwall.fleet.revision_messages import encode_revision
from basilwall.parts.clock import Clock
from basilwall.parts.tasks import TaskGroup
from basilwall.records.ids import VmAddress
from basilwall.records.revision import NO_REVISION, Revision

#: Time for which this VM's own read may be behind another VM.
PATIENCE_SECONDS = 0.8
#: Time between two checks while this VM is behind.
RETRY_SECONDS = 0.2
#: How often a loop with nothing to do looks whether it is to stop.
IDLE_SECONDS = 1.0
FETCH_HEAD_SECONDS = 1.5
FETCH_TRANSFER_SECONDS = 3.0
_FETCH_LIMITS = CallLimits(FETCH_HEAD_SECONDS, FETCH_TRANSFER_SECONDS)

_log = logging.getLogger(__name__)


class CatchUp:
    """Gets changes from VMs that are ahead of this one."""

    def __init__(
        self,
        watch: PlatformWatch,
        reader: RelayedReader,
        client: ChangeClient,
        tasks: TaskGroup,
        clock: Clock,
    ) -> None:
        """Create it.

        Args:
            watch: This VM's own reads, which get the changes too.
            reader: Learns how long removals are held back.
            client: Gets changes from other VMs.
            tasks: Runs the calls.
            clock: Dates what is heard.
        """
        self._watch = watch
        self._reader = reader
        self._client = client
        self._tasks = tasks
        self._clock = clock
        #: The revision that this VM has been behind, and since when.
        self._awaited_revision = NO_REVISION
        self._behind_since = clock.monotonic()
        self._revision_by_vm: dict[VmAddress, Revision] = {}
        self._is_fetching = False
        self._has_heard = threading.Event()
        self._lock = threading.Lock()

    def run(self, stopping: threading.Event) -> None:
        """Get changes that this VM's own reads do not bring, until stopped."""
        while not stopping.is_set():
            if self._has_heard.wait(IDLE_SECONDS):
                stopping.wait(RETRY_SECONDS)
                self.check()

    def own_revision(self) -> Revision:
        """Return the revision up to which this VM knows all changes."""
        return self._watch.health.revision

    def behind_seconds(self) -> float:
        """Return for how long another VM has known changes unknown here."""
        if self._awaited_revision <= self.own_revision():
            return 0
        return self._clock.monotonic() - self._behind_since

    def record_peer_revision(self, vm: VmAddress, revision: Revision) -> None:
        """Record the revision of another VM; catch up with it if it is time.

        Args:
            vm: The address of the VM.
            revision: The revision up to which it knows all changes.
        """
        if revision <= self.own_revision():
            return
        with self._lock:
            self._revision_by_vm[vm] = revision
        self._has_heard.set()
        self.check()

    def check(self) -> None:
        """Get the changes from a VM that knows them, if it is time."""
        with self._lock:
            self._forget_reached()
            if self._is_fetching or not self._is_due():
                return
            self._is_fetching = True
            # A VM that does not reply is asked again only once it is heard of.
            vm, _ = self._revision_by_vm.popitem()
        self._tasks.start(partial(self._fetch, vm))

    def _forget_reached(self) -> None:
        own = self.own_revision()
        self._revision_by_vm = {
            vm: revision
            for vm, revision in self._revision_by_vm.items()
            if revision > own
        }
        if not self._revision_by_vm:
            self._has_heard.clear()
        elif self._awaited_revision <= own:
            self._awaited_revision = min(self._revision_by_vm.values())
            self._behind_since = self._clock.monotonic()

    def _is_due(self) -> bool:
        if not self._revision_by_vm:
            return False
        is_own_read_failing = self._watch.health.failures > 0
        return is_own_read_failing or self.behind_seconds() >= PATIENCE_SECONDS

    def _fetch(self, vm: VmAddress) -> None:
        request = ChangesRequest(
            encode_revision(self.own_revision()), is_catching_up=True
        )
        started_at = self._clock.monotonic()
        try:
            relayed = self._client.fetch(vm, request, _FETCH_LIMITS)
            self._reader.hold_removals(relayed.removals_held_seconds)
            self._watch.apply_relayed(relayed.reply)
        except (OSError, http.client.HTTPException, PlatformError) as error:
            _log.info(
                'not caught up with VM',
                extra={
                    'vm': vm,
                    'error': repr(error),
                    'behind_seconds': round(self.behind_seconds(), 2),
                },
            )
        else:
            seconds = self._clock.monotonic() - started_at
            log_changes(vm, relayed.reply, relayed.age, seconds)
        finally:
            with self._lock:
                self._is_fetching = False
