"""Reserves consecutive ports against other runs on the same machine.

A port that is found free may be taken by another run before it is used. So
the first port of each block is a lock: it stays bound while the block is in
use, and a run that can't bind it tries another block.
"""

import random
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

HOST = '127.0.0.1'
#: Below the ephemeral ports that the system gives to outgoing connections.
FIRST_PORT = 20_000
LAST_PORT = 32_000
#: Blocks start at multiples of this from FIRST_PORT, so that none overlap.
PORTS_PER_BLOCK = 128


@contextmanager
def reserved_ports(count: int) -> Iterator[int]:
    """Reserve consecutive ports while the context is open.

    Args:
        count: Number of ports.

    Yields:
        The first port.

    Raises:
        OSError: If `count` exceeds the size of a block, or no block is free.
    """
    if count >= PORTS_PER_BLOCK:
        raise OSError(
            f'{count} ports and a lock do not fit in {PORTS_PER_BLOCK} ports'
        )
    first_ports = list(
        range(FIRST_PORT, LAST_PORT - PORTS_PER_BLOCK, PORTS_PER_BLOCK)
    )
    random.Random().shuffle(first_ports)
    with ExitStack() as reservations:
        for first in first_ports:
            if _try_reserve(reservations, first, count):
                yield first + 1
                return
    raise OSError(f'no {count} free ports from {FIRST_PORT} to {LAST_PORT}')


def _try_reserve(reservations: ExitStack, first: int, count: int) -> bool:
    lock_socket = socket.socket()
    try:
        lock_socket.bind((HOST, first))
        for port in range(first + 1, first + count + 1):
            socket.create_server((HOST, port)).close()
    except OSError:
        lock_socket.close()
        return False
    reservations.enter_context(lock_socket)
    return True
