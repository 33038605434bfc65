"""Neighbouring ports that no other run on this machine takes meanwhile.

A port that was found free may be taken by another run before it is used. The
port below the block is held for as long as the block is in use, and whoever
can't hold it looks elsewhere.
"""

import random
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

HOST = '127.0.0.1'
#: Below the ports that the system gives to outgoing connections.
FIRST_PORT = 20_000
LAST_PORT = 32_000
#: Blocks start at multiples of this, so that no two overlap.
PORTS_PER_BLOCK = 128


@contextmanager
def reserved_ports(count: int) -> Iterator[int]:
    """Hold a block of ports for the length of a block.

    Args:
        count: How many neighbouring ports are needed.

    Yields:
        The first of them.

    Raises:
        OSError: If there is no such block.
    """
    if count >= PORTS_PER_BLOCK:
        raise OSError(f'no block of {count} ports')
    firsts = list(
        range(FIRST_PORT, LAST_PORT - PORTS_PER_BLOCK, PORTS_PER_BLOCK)
    )
    random.Random().shuffle(firsts)
    with ExitStack() as held:
        for first in firsts:
            if _try_reserve(held, first, count):
                yield first + 1
                return
    raise OSError('no free ports')


def _try_reserve(held: ExitStack, first: int, count: int) -> bool:
    holder = socket.socket()
    try:
        holder.bind((HOST, first))
        for port in range(first + 1, first + count + 1):
            socket.create_server((HOST, port)).close()
    except OSError:
        holder.close()
        return False
    held.enter_context(holder)
    return True
