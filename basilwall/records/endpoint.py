"""The network endpoint that an address names.

Addresses are published by others, so each is checked once, where it is decoded:
a socket call raises other errors than `OSError` for a port out of range, and
resolves a host that is not a numeric address.
"""

import ipaddress
from dataclasses import dataclass

MAX_PORT = 65_535
#: Longest text of a port.
MAX_PORT_DIGITS = 5


class InvalidAddressError(ValueError):
    """A text is not an address of the form `host:port` with a numeric host."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A numeric host, IPv6 without brackets, and a port."""

    host: str
    port: int

    @property
    def is_ipv6(self) -> bool:
        """True if the host is an IPv6 address."""
        return ':' in self.host


def parse_address(address: str) -> Endpoint:
    """Return the endpoint of an address.

    Args:
        address: `host:port`; an IPv6 host may be in brackets.

    Raises:
        InvalidAddressError: If the host is not a numeric address, or the port
            is not from 1 to 65,535.
    """
    host, _, port_text = address.rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise InvalidAddressError(str(error)) from error
    is_number = port_text.isascii() and port_text.isdigit()
    if not is_number or len(port_text) > MAX_PORT_DIGITS:
        raise InvalidAddressError(f'invalid port {port_text!r}')
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise InvalidAddressError(f'port {port} out of range')
    return Endpoint(host, port)
