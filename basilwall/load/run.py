"""Runs a load plan and builds its report."""

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

#: Delay before time 0 of the arrivals, in which the threads start.
START_DELAY_SECONDS = 0.2
STATUS_TIMEOUT_SECONDS = 5.0
MS_PER_SECOND = 1000
REFUSED_OUTCOMES = frozenset((Outcome.REFUSED, Outcome.GIVEN_UP))


class VmStatus(msgspec.Struct, frozen=True):
    """Fields that the load generator reads from the status of a VM."""

    counters: dict[str, int] = msgspec.field(default_factory=dict)


class LoadRun:
    """One run of a load plan."""

    def __init__(self, plan: LoadPlan) -> None:
        check_plan(plan)
        self.tally = Tally()
        self._plan = plan
        self._client = LoadClient(plan.timeout_ms)
        self._in_flight_slots = threading.Semaphore(plan.max_in_flight)
        self._started_at = time.monotonic()

    def run(self) -> LoadReport:
        """Send each request at its arrival time.

        A request that arrives while `max_in_flight` requests are in flight is
        counted as not sent; it does not delay later ones.

        Returns:
            The report, after the last request has ended.
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
        result = self._client.send(arrival)
        for _ in range(self._plan.resends):
            if result.outcome not in REFUSED_OUTCOMES:
                break
            if self._plan.heeds_retry_after:
                time.sleep(result.body.retry_after_ms / MS_PER_SECOND)
            self.tally.record_resend()
            result = self._client.send(arrival)
        return result

    def _record(self, arrival: Arrival, result: RequestResult) -> None:
        self.tally.record(arrival, result, time.monotonic() - self._started_at)

    def _build_report(self, extra_attempts: float | None) -> LoadReport:
        tally, plan = self.tally, self._plan
        answered, refused = tally.quantiles()
        by_second = tally.by_second
        last_second = max(by_second, default=-1)
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
            refused_by_class=tally.count_by_class(REFUSED_OUTCOMES),
            answered=answered,
            refused=refused,
            goodput=answered.count / plan.seconds,
            coverage=tally.parts_answered / max(tally.parts_total, 1),
            extra_load=extra_attempts,
            answered_by_second=tuple(
                by_second[second] for second in range(last_second + 1)
            ),
        )


def read_counters(addresses: tuple[str, ...]) -> Counter[str]:
    """Return the summed counters of VMs.

    A VM whose status can't be read within `STATUS_TIMEOUT_SECONDS` is left out.
    """
    totals: Counter[str] = Counter()
    for address in addresses:
        connection = http.client.HTTPConnection(
            address, timeout=STATUS_TIMEOUT_SECONDS
        )
        try:
            connection.request('GET', '/statusz')
            body = connection.getresponse().read()
            totals.update(msgspec.json.decode(body, type=VmStatus).counters)
        except (OSError, http.client.HTTPException, msgspec.DecodeError):
            continue
        finally:
            connection.close()
    return totals
