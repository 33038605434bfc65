"""Connections to one server that are kept open between calls."""

import http.client
import select

from basilwall.configuration.http_call import (
    CallPurpose,
    CallResponse,
    HttpCall,
)


class KeptConnections:
    """One connection for each purpose, on which a call was answered."""

    def __init__(self) -> None:
        self._by_purpose: dict[CallPurpose, http.client.HTTPConnection] = {}

    def keep(self, call: HttpCall, response: CallResponse) -> None:
        """Keep the connection of a call that was answered."""
        former = self._by_purpose.pop(call.purpose, None)
        if former is not None:
            former.close()
        if response.will_close:
            call.close()
        else:
            self._by_purpose[call.purpose] = call.connection

    def take(self, purpose: CallPurpose) -> http.client.HTTPConnection | None:
        """Return a kept connection, unless the server has closed it."""
        kept = self._by_purpose.pop(purpose, None)
        if kept is not None and _is_closed(kept):
            kept.close()
            return None
        return kept

    def close(self) -> None:
        """Close all connections."""
        for connection in self._by_purpose.values():
            connection.close()
        self._by_purpose.clear()


def _is_closed(connection: http.client.HTTPConnection) -> bool:
    """Return whether the server closed a connection while it was idle."""
    poller = select.poll()
    poller.register(connection.sock, select.POLLIN)
    return bool(poller.poll(0))
