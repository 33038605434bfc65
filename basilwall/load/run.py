"""Runs a load plan and reports what its callers saw."""

import http.client
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import msgspec

from basilwall.load.exchange import Callers, Exchange, Outcome
from basilwall.load.plan import Arrival, LoadPlan, arrivals, check_plan
from basilwall.load.tally import ANSWERED, LoadReport, Tally, extra_load

#: From the call to the first arrival, while threads and counters are read.
LEAD_SECONDS = 0.2
STATUS_TIMEOUT = 5.0
MILLISECONDS = 1000
REFUSED = frozenset((Outcome.REFUSED, Outcome.GIVEN_UP))


class StatusSeen(msgspec.Struct, frozen=True):
    """What the tool reads of a VM's status."""

    counters: dict[str, int] = msgspec.field(default_factory=dict)


class LoadRun:
    """One run of a plan."""

    def __init__(self, plan: LoadPlan) -> None:
        check_plan(plan)
        self.tally = Tally()
        self._plan = plan
        self._callers = Callers(plan.timeout_ms)
        self._room = threading.Semaphore(plan.max_in_flight)
        self._started = time.monotonic()

    def run(self) -> LoadReport:
        """Send every arrival at its time.

        Returns:
            The report, once the last request has ended.
        """
        before = read_counters(self._plan.addresses)
        self._started = time.monotonic() + LEAD_SECONDS
        with ThreadPoolExecutor(self._plan.max_in_flight) as pool:
            for arrival in arrivals(self._plan):
                self._wait(arrival.at)
                if self._room.acquire(blocking=False):
                    pool.submit(self._send, arrival)
                else:
                    self._add(arrival, Exchange(Outcome.NOT_SENT))
        self._callers.close()
        after = read_counters(self._plan.addresses)
        return self._report(extra_load(before, after))

    def _wait(self, at: float) -> None:
        left = self._started + at - time.monotonic()
        if left > 0:
            time.sleep(left)

    def _send(self, arrival: Arrival) -> None:
        try:
            self._add(arrival, self._exchange(arrival))
        finally:
            self._room.release()

    def _exchange(self, arrival: Arrival) -> Exchange:
        exchange = self._callers.send(arrival)
        for _ in range(self._plan.resends):
            if exchange.outcome not in REFUSED:
                break
            if self._plan.heeds_retry_after:
                time.sleep(exchange.body.retry_after_ms / MILLISECONDS)
            self.tally.add_resend()
            exchange = self._callers.send(arrival)
        return exchange

    def _add(self, arrival: Arrival, exchange: Exchange) -> None:
        self.tally.add(arrival, exchange, time.monotonic() - self._started)

    def _report(self, extra: float | None) -> LoadReport:
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
            answered_by_class=tally.counts(ANSWERED),
            refused_by_class=tally.counts(REFUSED),
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
        connection = http.client.HTTPConnection(address, timeout=STATUS_TIMEOUT)
        try:
            connection.request('GET', '/statusz')
            body = connection.getresponse().read()
            added.update(msgspec.json.decode(body, type=StatusSeen).counters)
        except (OSError, http.client.HTTPException, msgspec.DecodeError):
            continue
        finally:
            connection.close()
    return added
