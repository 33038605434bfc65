"""A stand-in for one searcher, with switches for faults.

It records every request that it ran, so that tests can compare answers with
what really ran. It does not search: its answer echoes the request.
"""

import random
import select
import socket
import threading
import time
from collections import deque

import msgspec

from basilwall.records.attempt import SearcherReply
from basilwall.records.ids import SnapshotId
from basilwall.standin.http_server import (
    StandInHandler,
    StandInServer,
    split_address,
)

MS_PER_SECOND = 1000
MAX_RUN_RECORDS = 100_000
#: Records that each searcher reports as held.
RECORDS_PER_SEARCHER = 100
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504

_STATUS_BY_OUTCOME = {
    'answered': HTTP_OK,
    'shed': HTTP_UNAVAILABLE,
    'leaving': HTTP_UNAVAILABLE,
    'wrong_snapshot': HTTP_CONFLICT,
    'late': HTTP_TIMEOUT,
}


class Switches(msgspec.Struct, kw_only=True):
    """Behaviour of a stand-in, as set with PUT; times are in milliseconds."""

    snapshots: list[SnapshotId] = msgspec.field(
        default_factory=lambda: [SnapshotId('s1')],
    )
    #: Requests that run at once.
    slots: int = 2
    #: Open connections above which requests are shed.
    connections: int = 25
    #: Delay of the first request on a connection.
    connect_ms: float = 0
    service_ms: float = 2
    #: Mean of an exponentially distributed addition to `service_ms`.
    spread_ms: float = 0
    #: Factor on the service time.
    straggle: float = 1
    #: Longest wait for a slot before the request is shed.
    queue_ms: float = 20
    shed: bool = False
    #: Refuse requests as a searcher that is shutting down.
    leaving: bool = False
    #: Requests with this text in their body crash the searcher.
    crash_on: str = ''
    #: Time from a crash until the searcher listens again.
    restart_ms: float = 500
    #: Run the request, then close the connection without a reply.
    run_then_cut: bool = False
    #: Close the connection after half of the reply.
    cut_reply: bool = False
    #: Send each reply twice.
    answer_twice: bool = False
    #: Report this snapshot in replies instead of the requested one.
    claims: str = ''
    #: Share of the records that replies report as covered.
    covered_share: float = 1
    #: Report as healthy while requests are running, too.
    health_lies: bool = False


class RunRecord(msgspec.Struct):
    """One request that ran, or crashed the searcher while it ran."""

    kind: str
    request_id: str
    attempt_id: str
    snapshot: str
    body: str
    crashed: bool = False


class SearcherStandIn:
    """One searcher, listening at one address."""

    def __init__(
        self,
        address: str,
        instance: str,
        switches: Switches | None = None,
        seed: int = 0,
    ) -> None:
        self.address = address
        self.instance = instance
        self.switches = switches or Switches()
        self.run_records: deque[RunRecord] = deque(maxlen=MAX_RUN_RECORDS)
        self.running_requests = 0
        self.max_running_requests = 0
        self.arrived_requests = 0
        self.rng = random.Random(f'{seed}/{address}')
        self.slot_free = threading.Condition()
        self._server: StandInServer | None = None

    def start(self) -> None:
        """Listen and serve on threads."""
        stand_in = self

        class Handler(_SearcherHandler):
            searcher = stand_in

        server = StandInServer(split_address(self.address), Handler)
        self._server = server
        server.start()

    def stop(self) -> None:
        """Stop listening and shut down all connections."""
        server, self._server = self._server, None
        if server is not None:
            server.stop()

    def crash(self) -> None:
        """Stop at once and listen again after `restart_ms`."""
        threading.Thread(target=self._crash, daemon=True).start()

    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.connections) if self._server else 0

    def acquire_slot(self, timeout_seconds: float) -> bool:
        """Wait for a slot and take it; False if none became free.

        Waits for `queue_ms` or `timeout_seconds`, whichever is shorter.
        """
        wait_seconds = min(
            self.switches.queue_ms / MS_PER_SECOND, timeout_seconds
        )
        with self.slot_free:
            self.slot_free.wait_for(self._has_slot, wait_seconds)
            if not self._has_slot():
                return False
            self.running_requests += 1
            self.max_running_requests = max(
                self.max_running_requests, self.running_requests
            )
        return True

    def release_slot(self) -> None:
        """Release the slot of a request that ended."""
        with self.slot_free:
            self.running_requests -= 1
            self.slot_free.notify()

    def _has_slot(self) -> bool:
        return self.running_requests < self.switches.slots

    def _crash(self) -> None:
        self.stop()
        time.sleep(self.switches.restart_ms / MS_PER_SECOND)
        self.start()


class _SearcherHandler(StandInHandler):
    searcher: SearcherStandIn

    def setup(self) -> None:
        super().setup()
        self._pending_connect_ms = self.searcher.switches.connect_ms

    def do_GET(self) -> None:
        searcher = self.searcher
        if self.path == '/records':
            self.reply_json(HTTP_OK, list(searcher.run_records))
        elif self.path == '/health':
            healthy = (
                searcher.switches.health_lies or not searcher.running_requests
            )
            self.reply_json(HTTP_OK, {'healthy': healthy})
        else:
            self.reply_json(
                HTTP_OK,
                {
                    'running': searcher.running_requests,
                    'highest_running': searcher.max_running_requests,
                    'connections': searcher.open_connections(),
                    'arrived': searcher.arrived_requests,
                },
            )

    def do_PUT(self) -> None:
        """Set the switches that the JSON object of the body names."""
        changes = msgspec.json.decode(self.read_body())
        current = msgspec.to_builtins(self.searcher.switches)
        self.searcher.switches = msgspec.convert(current | changes, Switches)
        self.reply_json(HTTP_OK, self.searcher.switches)

    def do_POST(self) -> None:
        if self._pending_connect_ms:
            time.sleep(self._pending_connect_ms / MS_PER_SECOND)
            self._pending_connect_ms = 0
        body = self.read_body()
        self.searcher.arrived_requests += 1
        refusal = self._refusal()
        if refusal:
            self._send(refusal, b'[]')
            return
        if not self.searcher.acquire_slot(self._timeout_seconds()):
            self._send('shed', b'[]')
            return
        try:
            self._run(body)
        finally:
            self.searcher.release_slot()

    def _refusal(self) -> str:
        switches = self.searcher.switches
        if self.searcher.open_connections() > switches.connections:
            return 'shed'
        if switches.leaving:
            return 'leaving'
        if switches.shed:
            return 'shed'
        snapshot = self.headers.get('Snapshot')
        return '' if snapshot in switches.snapshots else 'wrong_snapshot'

    def _timeout_seconds(self) -> float:
        return float(self.headers.get('Timeout-Ms') or 0) / MS_PER_SECOND

    def _run(self, body: bytes) -> None:
        switches = self.searcher.switches
        record = RunRecord(
            self.path.rsplit('/', 1)[-1],
            self.headers.get('Request-Id') or '',
            self.headers.get('Attempt-Id') or '',
            self.headers.get('Snapshot') or '',
            body.decode(errors='replace'),
        )
        if switches.crash_on and switches.crash_on in record.body:
            record.crashed = True
            self.searcher.run_records.append(record)
            self.searcher.crash()
            self.close_connection = True
            return
        if self._work_until_cancelled(switches):
            self.close_connection = True
            return
        self.searcher.run_records.append(record)
        if switches.run_then_cut:
            self.close_connection = True
            return
        self._send('answered', self._answer(record, body))

    def _work_until_cancelled(self, switches: Switches) -> bool:
        spread = switches.spread_ms
        extra_ms = self.searcher.rng.expovariate(1 / spread) if spread else 0
        work_ms = (switches.service_ms + extra_ms) * switches.straggle
        if not work_ms:
            return False
        poller = select.poll()
        poller.register(self.connection, select.POLLIN)
        if not poller.poll(work_ms):
            return False
        return not self.connection.recv(1, socket.MSG_PEEK)

    def _answer(self, record: RunRecord, body: bytes) -> bytes:
        switches = self.searcher.switches
        echo = {
            'instance': self.path.split('/')[-2],
            'snapshot': switches.claims or record.snapshot,
            'echo': msgspec.Raw(body or b'null'),
        }
        return msgspec.json.encode([echo])

    def _send(self, outcome: str, records: bytes) -> None:
        switches = self.searcher.switches
        reply = msgspec.json.encode(
            SearcherReply(
                outcome=outcome,
                attempt_id=self.headers.get('Attempt-Id') or '',
                snapshot=SnapshotId(
                    switches.claims or self.headers.get('Snapshot') or '',
                ),
                records=msgspec.Raw(records),
                covered=int(RECORDS_PER_SEARCHER * switches.covered_share),
                total=RECORDS_PER_SEARCHER,
                leaving=switches.leaving,
                serves=tuple(switches.snapshots),
            ),
        )
        if switches.cut_reply:
            self.connection.sendall(
                b'HTTP/1.1 200 .\r\nContent-Length: %d\r\n\r\n%s'
                % (len(reply), reply[: len(reply) // 2]),
            )
            self.close_connection = True
            return
        self.reply(_STATUS_BY_OUTCOME[outcome], reply)
        if switches.answer_twice:
            self.reply(_STATUS_BY_OUTCOME[outcome], reply)


def serve_searchers(
    searchers: list[SearcherStandIn],
    stop_requested: threading.Event,
) -> None:
    """Serve searchers until `stop_requested` is set."""
    for searcher in searchers:
        searcher.start()
    stop_requested.wait()
    for searcher in searchers:
        searcher.stop()
