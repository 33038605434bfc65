"""Finds dead searchers by connecting to them.

Health endpoints lag or report wrong states; a refused connection is reliable.
All addresses are probed at once, so that searchers that died together are
detected together.
"""

import errno
import select
import socket
import time
from collections.abc import Collection, Iterator
from contextlib import ExitStack, contextmanager

from basilwall.records.ids import SearcherAddress

MS_PER_SECOND = 1000
#: Time until an address that closed a connection is tried again.
RETRY_SECONDS = 0.02


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


def find_refusing(
    addresses: Collection[SearcherAddress],
    window: float,
) -> set[SearcherAddress]:
    """Return the searchers whose process has ended, on a host that answers.

    A refused connection shows that. One that stays silent does not: the link
    may be lost. Nor does one that is accepted and closed, as by a searcher that
    has too many; but a process that ends closes what it accepted, so such an
    address is tried again.

    Args:
        addresses: The searchers, which are probed one after another.
        window: Duration of the probe of each, in seconds.
    """
    return {address for address in addresses if _is_refusing(address, window)}


def _is_refusing(address: SearcherAddress, window: float) -> bool:
    ends_at = time.monotonic() + window
    while time.monotonic() < ends_at:
        with _connecting(address) as sock:
            if not _wait(sock, select.POLLOUT, ends_at):
                return False
            failure = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if failure == errno.ECONNREFUSED:
                return True
            if not _wait(sock, select.POLLIN, ends_at):
                return False
        time.sleep(RETRY_SECONDS)
    return False


def _wait(sock: socket.socket, events: int, ends_at: float) -> bool:
    """Wait for events on a socket; False if none came in time."""
    poller = select.poll()
    poller.register(sock, events)
    left_seconds = max(ends_at - time.monotonic(), 0)
    return bool(poller.poll(left_seconds * MS_PER_SECOND))


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
