"""A TCP proxy on loopback that can treat connections badly."""

import socket
import struct
import threading
import time
from contextlib import suppress
from enum import Enum

READ_BYTES = 65_536
BACKLOG = 256
DELAY_SECONDS = 0.15
STEP = 0.02
_RESET = struct.pack('ii', 1, 0)


class Treatment(Enum):
    """How a proxy treats its connections, those that are open among them."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENT = 'silent'
    NO_REPLIES = 'no_replies'


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, address, target):
        self.address = address
        self.treatment = Treatment.PASS
        self._target = target
        self._pairs = set()
        self._listener = socket.create_server(address, backlog=BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    def treat(self, treatment):
        """Treat all connections so from now on."""
        self.treatment = treatment
        if treatment is Treatment.RESET:
            for pair in tuple(self._pairs):
                _reset_both(pair)

    def close(self):
        """Stop listening and cut all connections."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for pair in tuple(self._pairs):
            _reset_both(pair)

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect,
                args=(near,),
                daemon=True,
            ).start()

    def _connect(self, near):
        if self.treatment is Treatment.RESET:
            _reset(near)
            return
        try:
            far = socket.create_connection(self._target)
        except OSError:
            _reset(near)
            return
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far)
        self._pairs.add(pair)
        threading.Thread(
            target=self._pump,
            args=(far, near, pair, True),
            daemon=True,
        ).start()
        self._pump(near, far, pair, is_reply=False)

    def _pump(self, source, sink, pair, is_reply):
        try:
            while chunk := source.recv(READ_BYTES):
                self._hold(is_reply)
                sink.sendall(chunk)
            self._hold(is_reply)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset_both(pair)
        if is_reply:
            self._pairs.discard(pair)

    def _hold(self, is_reply):
        """Wait as long as the treatment says."""
        if self.treatment is Treatment.DELAY:
            time.sleep(DELAY_SECONDS)
        held = {Treatment.SILENT}
        if is_reply:
            held.add(Treatment.NO_REPLIES)
        while self.treatment in held:
            time.sleep(STEP)


def _reset(connection):
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    with suppress(OSError):
        connection.close()


def _reset_both(pair):
    for connection in pair:
        _reset(connection)
