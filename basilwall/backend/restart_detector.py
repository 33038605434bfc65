"""Detects that a leaving searcher was restarted at the same address.

A notice that a searcher is leaving is valid for half a minute, but a restarted
searcher is back sooner. If all replicas of a shard restart one after the other,
the shard would be missing for that long. Health endpoints are unreliable, so
a restart is detected by a port that was closed and accepts connections again:
the old process is gone. No request is sent for this, and the leaving state in
the fleet list is not changed.
"""

import socket
import threading

from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.records.endpoint import parse_address
from basilwall.records.ids import SearcherAddress

#: Time between two checks of all leaving searchers.
CHECK_INTERVAL_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.2
#: Searchers per check, those with the latest leaving notices first.
MAX_PORTS_PER_CHECK = 64


class RestartDetector:
    """Checks the ports of leaving searchers for restarted processes."""

    def __init__(self, leaving_searchers: LeavingSearchers) -> None:
        self._leaving_searchers = leaving_searchers
        self._closed: set[SearcherAddress] = set()

    def run(self, stopping: threading.Event) -> None:
        """Check periodically until `stopping` is set."""
        while not stopping.wait(CHECK_INTERVAL_SECONDS):
            self.check_ports()

    def check_ports(self) -> None:
        """Check the port of each leaving searcher once."""
        leaving = self._leaving_searchers.notice_ages()
        self._closed &= leaving.keys()
        latest = sorted(leaving, key=lambda address: leaving[address])
        for address in latest[:MAX_PORTS_PER_CHECK]:
            self._check_port(address)

    def _check_port(self, address: SearcherAddress) -> None:
        try:
            endpoint = parse_address(address)
            socket.create_connection(
                (endpoint.host, endpoint.port),
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
            self._leaving_searchers.revoke_notices(address)
