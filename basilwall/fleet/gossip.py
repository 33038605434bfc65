"""Gossip over HTTP: exchanges messages with other VMs.

Each VM exchanges messages with a random peer at an interval, and pushes urgent
changes, such as a content that crashes searchers, to several peers at once.
"""

import http.client
import logging
import random
import threading
from functools import partial

from basilwall.fleet.gossip_messages import GossipMessages, TellingError
from basilwall.fleet.http_calls import (
    HTTP_BAD_REQUEST,
    HTTP_OK,
    CallLimits,
    post,
)
from basilwall.parts.tasks import TaskGroup
from basilwall.records.ids import VmAddress

#: Time between two calls of this VM, whatever the size of the fleet.
GOSSIP_INTERVAL_SECONDS = 1.0
#: Interval of the first calls, so that a new VM is soon known, and while this
#: VM reaches no searcher, so that it soon knows who does.
SHORT_INTERVAL_SECONDS = 0.25
INITIAL_CALLS = 12
MIN_JITTER_FACTOR = 0.7
MAX_JITTER_FACTOR = 1.3
CALL_LIMITS = CallLimits(head_seconds=1.0, transfer_seconds=1.0)
#: HTTP path at which VMs exchange messages.
EXCHANGE_PATH = '/exchange'
#: Peers that an urgent change is pushed to; the others get it from these.
PUSH_FANOUT = 16

#: Time from a push to the next one.
PUSH_PAUSE_SECONDS = 0.1

_log = logging.getLogger(__name__)


class HttpGossip:
    """Exchanges gossip messages with other VMs, as client and as server."""

    def __init__(
        self,
        messages: GossipMessages,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        self.messages = messages
        self._tasks = tasks
        self._rng = rng
        self._unreachable: set[VmAddress] = set()
        self._push_lock = threading.Lock()
        self._is_push_paused = False
        self._has_unpushed_change = False

    def run(self) -> None:
        """Exchange messages with random peers until stopped."""
        calls = 0
        stopping = self._tasks.stopping
        while not stopping.wait(self._next_interval(calls)):
            calls += 1
            peers = self.messages.membership.peers()
            if peers:
                self.exchange_with(self._rng.choice(peers))

    def push_to_peers(self) -> None:
        """Send the state of this VM to several random peers at once.

        Changes that follow within a short time are pushed together after it.
        """
        with self._push_lock:
            if self._is_push_paused:
                self._has_unpushed_change = True
                return
            self._is_push_paused = True
        peers = self.messages.membership.peers()
        chosen = self._rng.sample(peers, min(len(peers), PUSH_FANOUT))
        for address in chosen:
            self._tasks.start(partial(self._exchange_once, address))
        self._tasks.start(self._end_push_pause)

    def answer(self, message: bytes) -> tuple[int, bytes]:
        """Apply a message of another VM and return the reply.

        Args:
            message: The message received.

        Returns:
            The HTTP status and the body of the reply.
        """
        try:
            self.messages.apply(message)
        except TellingError as error:
            _log.warning('invalid gossip message', extra={'error': str(error)})
            return HTTP_BAD_REQUEST, b''
        return HTTP_OK, self.messages.encode()

    def exchange_with(self, address: VmAddress) -> bool:
        """Exchange messages with one VM.

        Args:
            address: The address of the VM.

        Returns:
            False if the VM gave no valid reply.
        """
        try:
            self.messages.apply(self._call(address))
        except (OSError, http.client.HTTPException, TellingError) as error:
            self._record_unreachable(address, error)
            return False
        if address in self._unreachable:
            self._unreachable.discard(address)
            _log.info('VM reached again', extra={'vm': address})
        return True

    def _end_push_pause(self) -> None:
        self._tasks.stopping.wait(PUSH_PAUSE_SECONDS)
        with self._push_lock:
            has_unpushed_change = self._has_unpushed_change
            self._has_unpushed_change = False
            self._is_push_paused = False
        if has_unpushed_change and not self._tasks.stopping.is_set():
            self.push_to_peers()

    def _exchange_once(self, address: VmAddress) -> None:
        self.exchange_with(address)

    def _call(self, address: VmAddress) -> bytes:
        status, reply = post(
            address,
            EXCHANGE_PATH,
            self.messages.encode(),
            CALL_LIMITS,
        )
        if status != HTTP_OK:
            raise TellingError(f'HTTP status {status}')
        return reply

    def _record_unreachable(self, address: VmAddress, error: Exception) -> None:
        if address not in self._unreachable:
            self._unreachable.add(address)
            _log.info(
                'VM not reached',
                extra={'vm': address, 'error': repr(error)},
            )

    def _next_interval(self, calls: int) -> float:
        own = self.messages.membership.own
        is_urgent = calls < INITIAL_CALLS or not own.reaches_searchers
        interval = (
            SHORT_INTERVAL_SECONDS if is_urgent else GOSSIP_INTERVAL_SECONDS
        )
        return interval * self._rng.uniform(
            MIN_JITTER_FACTOR, MAX_JITTER_FACTOR
        )
