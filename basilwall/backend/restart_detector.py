"""Finds out that a new process serves at the address of a searcher that left.

A sign of leaving is believed for half a minute, but a searcher that restarts
is back sooner, and if all of a part restart one after the other the part would
be missing for that long. Health endpoints mislead, so the sign that counts is
that the port was closed and then accepts again: the old process is gone. No
request is sent for it, and what the fleet list says stays untouched.
"""

import socket
import threading

from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.records.ids import SearcherAddress

#: Time between two looks at all searchers that are leaving, in seconds.
CHECK_INTERVAL_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.2
#: Searchers looked at in one go, those with the latest signs first.
MAX_PORTS_PER_CHECK = 64


class RestartDetector:
    """Looks at the ports of leaving searchers until they are served anew."""

    def __init__(self, departures: LeavingSearchers) -> None:
        self._departures = departures
        self._closed: set[SearcherAddress] = set()

    def run(self, stopping: threading.Event) -> None:
        """Look until `stopping` is set."""
        while not stopping.wait(CHECK_INTERVAL_SECONDS):
            self.check_ports()

    def check_ports(self) -> None:
        """Look at each leaving searcher once."""
        leaving = self._departures.notice_ages()
        self._closed &= leaving.keys()
        latest = sorted(leaving, key=lambda address: leaving[address])
        for address in latest[:MAX_PORTS_PER_CHECK]:
            self._check_port(address)

    def _check_port(self, address: SearcherAddress) -> None:
        host, _, port = address.rpartition(':')
        try:
            socket.create_connection(
                (host, int(port)),
                CONNECT_TIMEOUT_SECONDS,
            ).close()
        except ConnectionRefusedError:
            self._closed.add(address)
        except (OSError, ValueError):
            return
        else:
            self._note_open(address)

    def _note_open(self, address: SearcherAddress) -> None:
        if address in self._closed:
            self._closed.discard(address)
            self._departures.revoke_notices(address)
