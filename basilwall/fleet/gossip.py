"""Calls other VMs now and then, and at once when there is grave news."""

import http.client
import logging
import random
from functools import partial

from basilwall.fleet.gossip_messages import GossipMessages, TellingError
from basilwall.parts.tasks import TaskGroup
from basilwall.records.ids import VmAddress

#: Time between two calls of this VM, whatever the size of the fleet, seconds.
GOSSIP_INTERVAL_SECONDS = 1.0
#: The first calls follow each other faster, so that a new VM is soon known.
INITIAL_INTERVAL_SECONDS = 0.25
INITIAL_CALLS = 12
MIN_JITTER_FACTOR = 0.7
MAX_JITTER_FACTOR = 1.3
CALL_TIMEOUT_SECONDS = 1.0
#: Where VMs take each other's calls.
EXCHANGE_PATH = '/exchange'
#: VMs that grave news goes to at once; the others hear it from these.
PUSH_FANOUT = 16
HTTP_OK = 200
HTTP_BAD_REQUEST = 400

_log = logging.getLogger(__name__)


class HttpGossip:
    """The calls of this VM to others, and its answers to theirs."""

    def __init__(
        self,
        messages: GossipMessages,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        self._messages = messages
        self._tasks = tasks
        self._rng = rng
        self._unreached: set[VmAddress] = set()

    def run(self) -> None:
        """Call one VM after the other until stopped."""
        calls = 0
        stopping = self._tasks.stopping
        while not stopping.wait(self._pause(calls)):
            calls += 1
            peers = self._messages.membership.peers()
            if peers:
                self.exchange_with(self._rng.choice(peers))

    def push_to_peers(self) -> None:
        """Tell many VMs at once what this one knows."""
        peers = self._messages.membership.peers()
        chosen = self._rng.sample(peers, min(len(peers), PUSH_FANOUT))
        for address in chosen:
            self._tasks.start(partial(self._call_once, address))

    def answer(self, message: bytes) -> tuple[int, bytes]:
        """Return status and body of the answer to another VM's call."""
        try:
            self._messages.apply(message)
        except TellingError as error:
            _log.warning('odd call', extra={'error': str(error)})
            return HTTP_BAD_REQUEST, b''
        return HTTP_OK, self._messages.encode()

    def exchange_with(self, address: VmAddress) -> bool:
        """Exchange what is known with one VM; False if it gave no answer."""
        try:
            self._messages.apply(_post(address, self._messages.encode()))
        except (OSError, http.client.HTTPException, TellingError) as error:
            self._note_unreached(address, error)
            return False
        if address in self._unreached:
            self._unreached.discard(address)
            _log.info('VM reached again', extra={'vm': address})
        return True

    def _call_once(self, address: VmAddress) -> None:
        self.exchange_with(address)

    def _note_unreached(self, address: VmAddress, error: Exception) -> None:
        if address not in self._unreached:
            self._unreached.add(address)
            _log.info(
                'VM not reached',
                extra={'vm': address, 'error': repr(error)},
            )

    def _pause(self, calls: int) -> float:
        interval = (
            INITIAL_INTERVAL_SECONDS
            if calls < INITIAL_CALLS
            else GOSSIP_INTERVAL_SECONDS
        )
        return interval * self._rng.uniform(
            MIN_JITTER_FACTOR, MAX_JITTER_FACTOR
        )


def _post(address: VmAddress, message: bytes) -> bytes:
    connection = http.client.HTTPConnection(
        address, timeout=CALL_TIMEOUT_SECONDS
    )
    try:
        connection.request('POST', EXCHANGE_PATH, message)
        response = connection.getresponse()
        if response.status != HTTP_OK:
            raise TellingError(f'status {response.status}')
        return response.read()
    finally:
        connection.close()
