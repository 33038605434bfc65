"""Calls other VMs now and then, and at once when there is grave news."""

import http.client
import logging
import random
from functools import partial

from basilwall.fleet.messages import TellingError, Tellings
from basilwall.parts.tasks import TaskGroup
from basilwall.records.ids import VmAddress

#: Time between two calls of this VM, whatever the size of the fleet, seconds.
INTERVAL = 1.0
#: The first calls follow each other faster, so that a new VM is soon known.
FIRST_INTERVAL = 0.25
FIRST_CALLS = 12
LEAST_JITTER = 0.7
MOST_JITTER = 1.3
CALL_TIMEOUT = 1.0
#: Where VMs take each other's calls.
EXCHANGE = '/exchange'
#: VMs that grave news goes to at once; the others hear it from these.
PUSHED_TO = 16
HTTP_OK = 200
HTTP_BAD_REQUEST = 400

_log = logging.getLogger(__name__)


class FleetLinks:
    """The calls of this VM to others, and its answers to theirs."""

    def __init__(
        self,
        tellings: Tellings,
        tasks: TaskGroup,
        source: random.Random,
    ) -> None:
        self._tellings = tellings
        self._tasks = tasks
        self._source = source
        self._unreached: set[VmAddress] = set()

    def run(self) -> None:
        """Call one VM after the other until stopped."""
        calls = 0
        stopping = self._tasks.stopping
        while not stopping.wait(self._pause(calls)):
            calls += 1
            peers = self._tellings.membership.peers()
            if peers:
                self.call(self._source.choice(peers))

    def push(self) -> None:
        """Tell many VMs at once what this one knows."""
        peers = self._tellings.membership.peers()
        chosen = self._source.sample(peers, min(len(peers), PUSHED_TO))
        for address in chosen:
            self._tasks.start(partial(self._call_once, address))

    def answer(self, message: bytes) -> tuple[int, bytes]:
        """Return status and body of the answer to another VM's call."""
        try:
            self._tellings.take(message)
        except TellingError as error:
            _log.warning('odd call', extra={'error': str(error)})
            return HTTP_BAD_REQUEST, b''
        return HTTP_OK, self._tellings.tell()

    def call(self, address: VmAddress) -> bool:
        """Exchange what is known with one VM; False if it gave no answer."""
        try:
            self._tellings.take(_post(address, self._tellings.tell()))
        except (OSError, http.client.HTTPException, TellingError) as error:
            self._note_unreached(address, error)
            return False
        if address in self._unreached:
            self._unreached.discard(address)
            _log.info('VM reached again', extra={'vm': address})
        return True

    def _call_once(self, address: VmAddress) -> None:
        self.call(address)

    def _note_unreached(self, address: VmAddress, error: Exception) -> None:
        if address not in self._unreached:
            self._unreached.add(address)
            _log.info(
                'VM not reached',
                extra={'vm': address, 'error': repr(error)},
            )

    def _pause(self, calls: int) -> float:
        interval = FIRST_INTERVAL if calls < FIRST_CALLS else INTERVAL
        return interval * self._source.uniform(LEAST_JITTER, MOST_JITTER)


def _post(address: VmAddress, message: bytes) -> bytes:
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT)
    try:
        connection.request('POST', EXCHANGE, message)
        response = connection.getresponse()
        if response.status != HTTP_OK:
            raise TellingError(f'status {response.status}')
        return response.read()
    finally:
        connection.close()
