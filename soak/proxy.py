"""TCP proxy on loopback that injects connection faults."""

import socket
import struct
import threading
import time
from contextlib import suppress
from enum import Enum

READ_BYTES = 65_536
BACKLOG = 256
DELAY_SECONDS = 0.15
MODE_POLL_INTERVAL_SECONDS = 0.02
#: SO_LINGER with a time of 0 s: closing the socket sends a reset.
_LINGER_RESET = struct.pack('ii', 1, 0)


class ProxyMode(Enum):
    """How a proxy handles all its connections, open ones included.

    DELAY delays each chunk by `DELAY_SECONDS`. SILENT holds back all data,
    NO_REPLIES only the data from the target to the client.
    """

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    SILENT = 'silent'
    NO_REPLIES = 'no_replies'


class Proxy:
    """Forwards connections to one target address."""

    def __init__(self, address, target):
        self.address = address
        self.mode = ProxyMode.PASS
        self._target = target
        self._pairs = set()
        self.listen()

    def listen(self):
        """Accept connections, again after `stop_listening`."""
        self._listener = socket.create_server(self.address, backlog=BACKLOG)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def stop_listening(self):
        """Refuse new connections."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def set_mode(self, mode):
        """Set the mode of all open and new connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for pair in tuple(self._pairs):
                _reset_both(pair)

    def close(self):
        """Stop listening and reset all connections."""
        self.stop_listening()
        for pair in tuple(self._pairs):
            _reset_both(pair)

    def _accept(self, listener):
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect,
                args=(client,),
                daemon=True,
            ).start()

    def _connect(self, client):
        if self.mode is ProxyMode.RESET:
            _reset(client)
            return
        try:
            upstream = socket.create_connection(self._target)
        except OSError:
            _reset(client)
            return
        for connection in (client, upstream):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, upstream)
        self._pairs.add(pair)
        threading.Thread(
            target=self._pump,
            args=(upstream, client, pair, True),
            daemon=True,
        ).start()
        self._pump(client, upstream, pair, is_reply=False)

    def _pump(self, source, sink, pair, is_reply):
        try:
            while chunk := source.recv(READ_BYTES):
                self._wait_for_mode(is_reply)
                sink.sendall(chunk)
            self._wait_for_mode(is_reply)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset_both(pair)
        if is_reply:
            self._pairs.discard(pair)

    def _wait_for_mode(self, is_reply):
        """Wait for the delay of the mode and until it lets data pass."""
        if self.mode is ProxyMode.DELAY:
            time.sleep(DELAY_SECONDS)
        blocking_modes = {ProxyMode.SILENT}
        if is_reply:
            blocking_modes.add(ProxyMode.NO_REPLIES)
        while self.mode in blocking_modes:
            time.sleep(MODE_POLL_INTERVAL_SECONDS)


def _reset(connection):
    with suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
        )
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    with suppress(OSError):
        connection.close()


def _reset_both(pair):
    for connection in pair:
        _reset(connection)
