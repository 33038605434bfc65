"""Finds dead searchers by connecting to them.

Health endpoints lag or report wrong states; a refused connection is reliable.
All addresses are probed at once, so that searchers that died together are
detected together. A process that was held up during a probe looks once more at
its end, for connections that were established meanwhile.
"""

import errno
import select
import socket
import time
from collections.abc import Collection, Iterator, Mapping
from contextlib import ExitStack, contextmanager

from basilwall.records.endpoint import parse_address
from basilwall.records.ids import SearcherAddress

MS_PER_SECOND = 1000
#: Time until an address that closed a connection is tried again.
RETRY_SECONDS = 0.02

Sockets = Mapping[SearcherAddress, socket.socket]


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
    connecting = set(addresses)
    dead: set[SearcherAddress] = set()
    with _connecting_to(addresses) as sockets, _polling(sockets) as poller:
        for address, events in _events(poller, sockets, window):
            connecting.discard(address)
            if events == select.POLLOUT:
                poller.modify(sockets[address], select.POLLIN)
                continue
            dead.add(address)
            poller.unregister(sockets[address])
            if len(dead) == len(sockets):
                break
    return dead | connecting


def find_refusing(
    addresses: Collection[SearcherAddress],
    window: float,
) -> set[SearcherAddress]:
    """Return the searchers whose host answers that nobody listens there.

    One that stays silent is none of them: the link to it may be lost or slow.

    Args:
        addresses: The searchers.
        window: Duration of the probe, in seconds, if one stays silent.
    """
    resolved: set[SearcherAddress] = set()
    with _connecting_to(addresses) as sockets, _polling(sockets) as poller:
        for address, _ in _events(poller, sockets, window):
            resolved.add(address)
            poller.unregister(sockets[address])
            if len(resolved) == len(sockets):
                break
        return {found for found in resolved if _is_refused(sockets[found])}


def find_ended(
    addresses: Collection[SearcherAddress],
    window: float,
) -> set[SearcherAddress]:
    """Return the searchers whose process has ended, on a host that answers.

    A refused connection shows that. One that is accepted and closed does not,
    as by a searcher that has too many; but a process that ends closes what it
    accepted, so such an address is tried again.

    Args:
        addresses: The searchers, which are probed one after another.
        window: Duration of the probe of each, in seconds.
    """
    return {address for address in addresses if _has_ended(address, window)}


def _has_ended(address: SearcherAddress, window: float) -> bool:
    ends_at = time.monotonic() + window
    while True:
        is_last = time.monotonic() >= ends_at
        with _connecting_to([address]) as sockets:
            connected = sockets[address]
            _wait(connected, select.POLLOUT, ends_at)
            if _is_refused(connected):
                return True
            is_closed = _wait(connected, select.POLLIN, ends_at)
        if is_last or not is_closed:
            return False
        time.sleep(RETRY_SECONDS)


def _is_refused(sock: socket.socket) -> bool:
    failure = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return failure == errno.ECONNREFUSED


def _wait(sock: socket.socket, events: int, ends_at: float) -> bool:
    """Wait for events on a socket; False if none came in time."""
    poller = select.poll()
    poller.register(sock, events)
    left_seconds = max(ends_at - time.monotonic(), 0)
    return bool(poller.poll(left_seconds * MS_PER_SECOND))


@contextmanager
def _polling(sockets: Sockets) -> Iterator['select.poll']:
    poller = select.poll()
    for sock in sockets.values():
        poller.register(sock, select.POLLIN | select.POLLOUT)
    yield poller


def _events(
    poller: 'select.poll', sockets: Sockets, window: float
) -> Iterator[tuple[SearcherAddress, int]]:
    """Yield what happens to sockets until the window has passed."""
    address_by_descriptor = {
        sock.fileno(): address for address, sock in sockets.items()
    }
    ends_at = time.monotonic() + window
    is_last = not sockets
    while not is_last:
        is_last = time.monotonic() >= ends_at
        left_seconds = max(ends_at - time.monotonic(), 0)
        for descriptor, events in poller.poll(left_seconds * MS_PER_SECOND):
            yield address_by_descriptor[descriptor], events


@contextmanager
def _connecting_to(
    addresses: Collection[SearcherAddress],
) -> Iterator[Sockets]:
    with ExitStack() as stack:
        yield {
            address: stack.enter_context(_connecting(address))
            for address in addresses
        }


@contextmanager
def _connecting(address: SearcherAddress) -> Iterator[socket.socket]:
    endpoint = parse_address(address)
    family = socket.AF_INET6 if endpoint.is_ipv6 else socket.AF_INET
    with socket.socket(family) as sock:
        sock.setblocking(False)
        sock.connect_ex((endpoint.host, endpoint.port))
        yield sock
