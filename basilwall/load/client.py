"""One request of a load run, and what came of it.

A caller's view only: the status, the coverage that the answer states, and
when to come back.
"""

import http.client
from collections import defaultdict, deque
from enum import Enum
from http import HTTPStatus

import msgspec

from basilwall.load.plan import Arrival

#: Time beyond a request's own before the tool gives up, in seconds.
EXTRA_TIMEOUT_SECONDS = 5.0
MS_PER_SECOND = 1000


class Outcome(Enum):
    """How a request ended for its caller."""

    COMPLETE = 'complete'
    PARTIAL = 'partial'
    REFUSED = 'refused'
    GIVEN_UP = 'given_up'
    FAILED = 'failed'
    #: The tool itself had no room for it, so the run is void above that.
    NOT_SENT = 'not_sent'


class ReportedCoverage(msgspec.Struct, frozen=True):
    """The parts that an answer states to cover."""

    answered: int = 0
    total: int = 0
    complete: bool = False


class ResponseBody(msgspec.Struct, frozen=True):
    """What the tool reads of an answer or of a problem."""

    coverage: ReportedCoverage | None = None
    reason: str = ''
    retry_after_ms: int = 0


class RequestResult(msgspec.Struct, frozen=True):
    """One request and its final reply."""

    outcome: Outcome
    body: ResponseBody = ResponseBody()


_IdleConnections = deque[http.client.HTTPConnection]
_decoder = msgspec.json.Decoder(ResponseBody)
_OUTCOME_BY_STATUS = {
    HTTPStatus.SERVICE_UNAVAILABLE: Outcome.REFUSED,
    HTTPStatus.GATEWAY_TIMEOUT: Outcome.GIVEN_UP,
}


class LoadClient:
    """Kept-alive connections, the one used last taken first.

    So there are only as many as requests were in flight at once, as with a
    balancer that pools its connections.
    """

    def __init__(self, timeout_ms: int) -> None:
        self._headers = {'Content-Type': 'application/json'}
        if timeout_ms:
            self._headers['Request-Timeout-Ms'] = str(timeout_ms)
        self._timeout_seconds = (
            EXTRA_TIMEOUT_SECONDS + timeout_ms / MS_PER_SECOND
        )
        self._idle_by_address: defaultdict[str, _IdleConnections] = defaultdict(
            deque
        )

    def send(self, arrival: Arrival) -> RequestResult:
        """Send one request and read its whole reply."""
        connection = self._checkout(arrival.address)
        try:
            connection.request(
                'POST',
                f'/v1/services/{arrival.service}/query',
                b'{"find":%d}' % arrival.number,
                self._headers | {'Request-Class': arrival.class_name},
            )
            response = connection.getresponse()
            exchange = _decode_result(response.status, response.read())
        except (OSError, http.client.HTTPException, msgspec.DecodeError):
            connection.close()
            return RequestResult(Outcome.FAILED)
        self._idle_by_address[arrival.address].append(connection)
        return exchange

    def close(self) -> None:
        """Close all connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()

    def _checkout(self, address: str) -> http.client.HTTPConnection:
        try:
            return self._idle_by_address[address].pop()
        except IndexError:
            return http.client.HTTPConnection(
                address, timeout=self._timeout_seconds
            )


def _decode_result(status: int, raw: bytes) -> RequestResult:
    body = _decoder.decode(raw)
    if status != HTTPStatus.OK:
        outcome = _OUTCOME_BY_STATUS.get(HTTPStatus(status), Outcome.FAILED)
        return RequestResult(outcome, body)
    complete = body.coverage is not None and body.coverage.complete
    return RequestResult(
        Outcome.COMPLETE if complete else Outcome.PARTIAL, body
    )
