"""Which status lines are those of a response in HTTP/1.1.

A server in trouble may send any three digits. RFC 9110 defines statuses from
100 to 599; a message with another one is no response.
"""

from enum import Enum

FIRST_INTERIM = 100
FIRST_FINAL = 200
LAST_FINAL = 599
SWITCHING_PROTOCOLS = 101
VERSIONS = frozenset(('1.0', '1.1'))


class StatusKind(Enum):
    """What a message with a status is.

    INTERIM precedes the response to the same request, FINAL is the response,
    INVALID is neither. No request asks for another protocol, so a switch to
    one is INVALID.
    """

    INTERIM = 'interim'
    FINAL = 'final'
    INVALID = 'invalid'


def kind_of_status(status: int) -> StatusKind:
    """Return what a message with a status is."""
    if status == SWITCHING_PROTOCOLS:
        return StatusKind.INVALID
    if FIRST_FINAL <= status <= LAST_FINAL:
        return StatusKind.FINAL
    is_interim = FIRST_INTERIM <= status < FIRST_FINAL
    return StatusKind.INTERIM if is_interim else StatusKind.INVALID
