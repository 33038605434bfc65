"""Finds dead searchers by connecting to them.

Health endpoints lag or report wrong states; a refused connection is reliable.
All addresses are probed at once, so that searchers that died together are
detected together.
"""

import select
import socket
import time
from collections.abc import Collection, Iterator
from contextlib import ExitStack, contextmanager

from basilwall.records.ids import SearcherAddress

MS_PER_SECOND = 1000


def find_dead(
    addresses: Collection[SearcherAddress],
    window: float,
) -> set[SearcherAddress]:
    """Return the searchers that refuse or close a connection.

    Args:
        addresses: The searchers.
        window: Duration of the probe, in seconds. A connection that is not
            established by then counts as refused.

    Returns:
        The addresses of the dead searchers.
    """
    ends_at = time.monotonic() + window
    with ExitStack() as stack:
        opened = {
            address: stack.enter_context(_connecting(address))
            for address in addresses
        }
        return _watch(opened, ends_at)


def _watch(
    socket_by_address: dict[SearcherAddress, socket.socket],
    ends_at: float,
) -> set[SearcherAddress]:
    poller = select.poll()
    address_by_descriptor: dict[int, SearcherAddress] = {}
    for address, sock in socket_by_address.items():
        address_by_descriptor[sock.fileno()] = address
        poller.register(sock, select.POLLIN | select.POLLOUT)
    connecting = set(socket_by_address)
    dead: set[SearcherAddress] = set()
    while time.monotonic() < ends_at and len(dead) < len(socket_by_address):
        left_ms = max(ends_at - time.monotonic(), 0) * MS_PER_SECOND
        for descriptor, events in poller.poll(left_ms):
            connecting.discard(address_by_descriptor[descriptor])
            if events == select.POLLOUT:
                poller.modify(descriptor, select.POLLIN)
                continue
            dead.add(address_by_descriptor[descriptor])
            poller.unregister(descriptor)
    return dead | connecting


@contextmanager
def _connecting(address: SearcherAddress) -> Iterator[socket.socket]:
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    with socket.socket(family) as sock:
        sock.setblocking(False)
        sock.connect_ex((host.strip('[]'), int(port)))
        yield sock
