"""A TCP forwarder that a test can cut, to stand between two processes."""

import contextlib
import socket
import threading

from basilwall.standin.http_server import split_address

CHUNK_BYTES = 65_536


class Forwarder:
    """Passes connections on to one address until it is cut."""

    def __init__(self, listen, target):
        self.target = split_address(target)
        self.is_cut = False
        self._open = set()
        self._server = socket.create_server(split_address(listen))
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Drop all connections, and those to come."""
        self.is_cut = True
        for sock in tuple(self._open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def heal(self):
        """Pass connections on again."""
        self.is_cut = False

    def close(self):
        """Stop listening."""
        self.cut()
        self._server.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._server.accept()
                self._join(near)

    def _join(self, near):
        try:
            far = socket.create_connection(self.target, timeout=2)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        if self.is_cut:
            near.close()
            far.close()
            return
        for source, sink in ((near, far), (far, near)):
            self._open.add(source)
            threading.Thread(
                target=self._pump,
                args=(source, sink),
                daemon=True,
            ).start()

    def _pump(self, source, sink):
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                sink.sendall(chunk)
        self._open.discard(source)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
