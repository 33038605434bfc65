"""Runs a load plan and reports what its callers saw."""

import http.client
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import msgspec

from basilwall.load.client import LoadClient, Outcome, RequestResult
from basilwall.load.plan import Arrival, LoadPlan, check_plan, draw_arrivals
from basilwall.load.tally import (
    ANSWERED_OUTCOMES,
    LoadReport,
    Tally,
    extra_load,
)

#: From the call to the first arrival, while threads and counters are read.
START_DELAY_SECONDS = 0.2
STATUS_TIMEOUT_SECONDS = 5.0
MS_PER_SECOND = 1000
RESENT_OUTCOMES = frozenset((Outcome.REFUSED, Outcome.GIVEN_UP))


class VmStatus(msgspec.Struct, frozen=True):
    """What the tool reads of a VM's status."""

    counters: dict[str, int] = msgspec.field(default_factory=dict)


class LoadRun:
    """One run of a plan."""

    def __init__(self, plan: LoadPlan) -> None:
        check_plan(plan)
        self.tally = Tally()
        self._plan = plan
        self._client = LoadClient(plan.timeout_ms)
        self._in_flight_slots = threading.Semaphore(plan.max_in_flight)
        self._started_at = time.monotonic()

    def run(self) -> LoadReport:
        """Send every arrival at its time.

        Returns:
            The report, once the last request has ended.
        """
        before = read_counters(self._plan.addresses)
        self._started_at = time.monotonic() + START_DELAY_SECONDS
        with ThreadPoolExecutor(self._plan.max_in_flight) as pool:
            for arrival in draw_arrivals(self._plan):
                self._wait_until(arrival.at)
                if self._in_flight_slots.acquire(blocking=False):
                    pool.submit(self._send, arrival)
                else:
                    self._record(arrival, RequestResult(Outcome.NOT_SENT))
        self._client.close()
        after = read_counters(self._plan.addresses)
        return self._build_report(extra_load(before, after))

    def _wait_until(self, at: float) -> None:
        left = self._started_at + at - time.monotonic()
        if left > 0:
            time.sleep(left)

    def _send(self, arrival: Arrival) -> None:
        try:
            self._record(arrival, self._send_with_resends(arrival))
        finally:
            self._in_flight_slots.release()

    def _send_with_resends(self, arrival: Arrival) -> RequestResult:
        exchange = self._client.send(arrival)
        for _ in range(self._plan.resends):
            if exchange.outcome not in RESENT_OUTCOMES:
                break
            if self._plan.heeds_retry_after:
                time.sleep(exchange.body.retry_after_ms / MS_PER_SECOND)
            self.tally.record_resend()
            exchange = self._client.send(arrival)
        return exchange

    def _record(self, arrival: Arrival, exchange: RequestResult) -> None:
        self.tally.record(
            arrival, exchange, time.monotonic() - self._started_at
        )

    def _build_report(self, extra: float | None) -> LoadReport:
        tally, plan = self.tally, self._plan
        answered, refused = tally.quantiles()
        by_second = tally.by_second
        last = max(by_second, default=-1)
        return LoadReport(
            seed=plan.seed,
            offered_rate=plan.rate,
            seconds=plan.seconds,
            requests=sum(tally.by_outcome.values()),
            resent=tally.resent,
            by_outcome={
                outcome.value: count
                for outcome, count in tally.by_outcome.items()
            },
            by_reason=dict(tally.by_reason),
            answered_by_class=tally.count_by_class(ANSWERED_OUTCOMES),
            refused_by_class=tally.count_by_class(RESENT_OUTCOMES),
            answered=answered,
            refused=refused,
            goodput=answered.count / plan.seconds,
            coverage=tally.parts_answered / max(tally.parts_total, 1),
            extra_load=extra,
            answered_by_second=tuple(by_second[at] for at in range(last + 1)),
        )


def read_counters(addresses: tuple[str, ...]) -> Counter[str]:
    """Return the counters of VMs, added up; a VM that is silent adds none."""
    added: Counter[str] = Counter()
    for address in addresses:
        connection = http.client.HTTPConnection(
            address, timeout=STATUS_TIMEOUT_SECONDS
        )
        try:
            connection.request('GET', '/statusz')
            body = connection.getresponse().read()
            added.update(msgspec.json.decode(body, type=VmStatus).counters)
        except (OSError, http.client.HTTPException, msgspec.DecodeError):
            continue
        finally:
            connection.close()
    return added
