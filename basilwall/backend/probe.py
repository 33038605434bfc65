"""Which of some searchers are dead: asked by connecting, and in no other way.

Health endpoints lag or mislead; a refused connection does not. All addresses
are asked at once, so that searchers which died together are seen together.
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
    """Return which searchers refuse or cut a connection.

    Args:
        addresses: The searchers.
        window: How long to watch them, in seconds; a connection that is not
            made by then counts as refused.

    Returns:
        The dead ones.
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
    address_by_number: dict[int, SearcherAddress] = {}
    for address, opened in socket_by_address.items():
        address_by_number[opened.fileno()] = address
        poller.register(opened, select.POLLIN | select.POLLOUT)
    connecting = set(socket_by_address)
    dead: set[SearcherAddress] = set()
    while time.monotonic() < ends_at:
        left_ms = max(ends_at - time.monotonic(), 0) * MS_PER_SECOND
        for number, events in poller.poll(left_ms):
            connecting.discard(address_by_number[number])
            if events == select.POLLOUT:
                poller.modify(number, select.POLLIN)
                continue
            dead.add(address_by_number[number])
            poller.unregister(number)
    return dead | connecting


@contextmanager
def _connecting(address: SearcherAddress) -> Iterator[socket.socket]:
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    with socket.socket(family) as sock:
        sock.setblocking(False)
        sock.connect_ex((host.strip('[]'), int(port)))
        yield sock
