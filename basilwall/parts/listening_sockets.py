"""Ends listening without cutting off a connection that was just made.

The system completes connections before the program takes them, and resets
those that it has not taken when the listener closes. So new ones are kept out
first, then those already there are taken, then the listener closes.
"""

import ctypes
import logging
import socket
import struct

#: From the system's headers; the socket module does not name it.
SO_ATTACH_FILTER = 26
#: The instruction of a packet filter that returns how much of it to keep.
_RETURN = 6
#: A filter of that one instruction, which keeps nothing of any packet.
_DROP_ALL = struct.pack('HBBI', _RETURN, 0, 0, 0)

_log = logging.getLogger(__name__)


def refuse_new_connections(listener: socket.socket) -> None:
    """Let no new connection begin; those that are made can still be taken.

    A caller that tries meanwhile is refused once the listener is closed.

    Args:
        listener: A listening TCP socket.
    """
    program = ctypes.create_string_buffer(_DROP_ALL)
    filtering = struct.pack('HL', 1, ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filtering)
    except OSError as error:
        _log.info('new connections not kept out', extra={'error': str(error)})
