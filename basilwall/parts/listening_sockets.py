"""Closes a listening socket without resetting connections in its backlog.

The kernel completes TCP connections before the program accepts them. When the
listening socket is closed, it resets those that were not accepted. So new
connections are refused first, then the backlog is accepted, and then the
socket is closed.
"""

import ctypes
import logging
import socket
import struct

#: From the Linux headers; the socket module doesn't define it.
SO_ATTACH_FILTER = 26
#: BPF instruction that returns how many bytes of a packet to keep.
_BPF_RETURN = 6
#: BPF program of one instruction that drops every packet.
_DROP_ALL = struct.pack('HBBI', _BPF_RETURN, 0, 0, 0)

_log = logging.getLogger(__name__)


def refuse_new_connections(listener: socket.socket) -> None:
    """Refuse new connections; established ones can still be accepted.

    A client that connects meanwhile is refused once the socket is closed.

    Args:
        listener: A listening TCP socket.
    """
    instruction = ctypes.create_string_buffer(_DROP_ALL)
    socket_filter = struct.pack('HL', 1, ctypes.addressof(instruction))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, socket_filter)
    except OSError as error:
        _log.info(
            'socket filter not set, new connections still accepted',
            extra={'error': str(error)},
        )
