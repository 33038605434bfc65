"""HTTP client of a load run, and the results of its requests.

The client reads only what callers see: the status, the coverage that the
answer states, and the time to retry after.
"""

import http.client
from collections import defaultdict, deque
from enum import Enum
from http import HTTPStatus

import msgspec

from basilwall.load.plan import Arrival

#: Added to the timeout of a request before the client closes its connection.
EXTRA_TIMEOUT_SECONDS = 5.0
MS_PER_SECOND = 1000


class Outcome(Enum):
    """Result of a request as its caller sees it."""

    COMPLETE = 'complete'
    PARTIAL = 'partial'
    REFUSED = 'refused'
    GIVEN_UP = 'given_up'
    FAILED = 'failed'
    #: The load generator had reached `max_in_flight`; the offered rate was
    #: not reached, so the run is not valid at this load.
    NOT_SENT = 'not_sent'


class ReportedCoverage(msgspec.Struct, frozen=True):
    """Coverage that an answer reports, in parts."""

    answered: int = 0
    total: int = 0
    complete: bool = False


class ResponseBody(msgspec.Struct, frozen=True):
    """Fields that the client reads from an answer or an error body."""

    coverage: ReportedCoverage | None = None
    reason: str = ''
    retry_after_ms: int = 0


class RequestResult(msgspec.Struct, frozen=True):
    """Outcome and body of the final reply to a request."""

    outcome: Outcome
    body: ResponseBody = ResponseBody()


_IdleConnections = deque[http.client.HTTPConnection]
_decoder = msgspec.json.Decoder(ResponseBody)
_OUTCOME_BY_STATUS = {
    HTTPStatus.SERVICE_UNAVAILABLE: Outcome.REFUSED,
    HTTPStatus.GATEWAY_TIMEOUT: Outcome.GIVEN_UP,
}


class LoadClient:
    """Sends requests over keep-alive connections.

    The most recently used idle connection is reused first. The number of
    connections is then the peak number of requests in flight, as with a load
    balancer that pools its connections. Used from several threads.
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
        """Send one request and read its complete reply."""
        connection = self._checkout(arrival.address)
        try:
            connection.request(
                'POST',
                f'/v1/services/{arrival.service}/query',
                b'{"find":%d}' % arrival.number,
                self._headers | {'Request-Class': arrival.class_name},
            )
            response = connection.getresponse()
            result = _decode_result(response.status, response.read())
        except (OSError, http.client.HTTPException, msgspec.DecodeError):
            connection.close()
            return RequestResult(Outcome.FAILED)
        self._idle_by_address[arrival.address].append(connection)
        return result

    def close(self) -> None:
        """Close all idle connections."""
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


def _decode_result(status: int, raw_body: bytes) -> RequestResult:
    body = _decoder.decode(raw_body)
    if status != HTTPStatus.OK:
        outcome = _OUTCOME_BY_STATUS.get(HTTPStatus(status), Outcome.FAILED)
        return RequestResult(outcome, body)
    is_complete = body.coverage is not None and body.coverage.complete
    return RequestResult(
        Outcome.COMPLETE if is_complete else Outcome.PARTIAL, body
    )
