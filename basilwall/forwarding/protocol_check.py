"""Checks that received bytes begin as an HTTP message.

The parser in C also takes the status lines of other protocols.
"""

PROTOCOL = b'HTTP/'
LINE_ENDS = b'\r\n'


class ProtocolCheck:
    """Checks the first bytes of a connection's messages, in any pieces."""

    def __init__(self) -> None:
        self._start = b''

    def accepts(self, chunk: bytes) -> bool:
        """Return whether the bytes so far may begin an HTTP message."""
        if len(self._start) < len(PROTOCOL):
            # Some servers send the end of a line before a message.
            start = b''.join((self._start, chunk)).lstrip(LINE_ENDS)
            self._start = start[: len(PROTOCOL)]
        return PROTOCOL.startswith(self._start)
