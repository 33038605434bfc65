"""Callers: they ask, wait, and come back once after a failure."""

import random
from functools import partial

from basilwall.forwarding.reporting import RequestMetrics, Trail
from basilwall.records.forwarding import Answer, Call
from basilwall.records.ids import RouteName
from basilwall.simulation.deployment import (
    HOST,
    ModelVm,
    SimulatedDeployment,
    make_deployment,
    prefix_of,
)
from basilwall.simulation.report import Report, Tally
from basilwall.simulation.scenarios import RequestKind, Scenario
from basilwall.simulation.virtual_time import Task, VirtualTime, virtual_time

HTTP_OK = 200
#: A caller honours a time to come back up to this part of its time left.
MAX_RETRY_AFTER_SHARE = 1 / 3


class AttemptCounter(RequestMetrics):
    """Counts the attempts and hedges that all VMs made."""

    def __init__(self) -> None:
        self.total = 0

    def observe(
        self,
        route: RouteName,
        answer: Answer,
        seconds: float,
        trail: Trail,
    ) -> None:
        """Count the attempts of one request."""
        self.total += trail.attempts


class CallerModel:
    """All callers of a deployment."""

    def __init__(
        self,
        scenario: Scenario,
        deployment: SimulatedDeployment,
        time: VirtualTime,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        self._scenario = scenario
        self._deployment = deployment
        self._time = time
        self._rng = rng
        self._tally = tally

    def schedule_arrivals(self) -> None:
        """Draw the arrivals of all kinds."""
        for kind in self._scenario.model.kinds:
            rate = kind.rate * self._scenario.load_factor
            moment = self._rng.expovariate(rate)
            while moment < self._scenario.seconds:
                self._time.call_at(moment, partial(self._start_request, kind))
                moment += self._rng.expovariate(rate)

    def _start_request(self, kind: RequestKind) -> None:
        vm = self._rng.choice(self._deployment.vms)
        self._time.start(partial(self._run_request, kind, vm))

    def _run_request(self, kind: RequestKind, vm: ModelVm, task: Task) -> None:
        began_at = self._time.monotonic()
        expires_at = began_at + kind.deadline
        answer = self._send(kind, vm, task, expires_at)
        for _ in range(self._scenario.model.max_resends):
            left = expires_at - self._time.monotonic()
            if answer.status == HTTP_OK or left <= 0:
                break
            self._sleep(
                task, min(answer.retry_after or 0, left * MAX_RETRY_AFTER_SHARE)
            )
            again = self._rng.choice(self._other_vms(vm))
            answer = self._send(kind, again, task, expires_at)
        seconds = self._time.monotonic() - began_at
        shards = self._scenario.model.shard_count
        self._tally.record(kind, began_at, seconds, answer, shards)

    def _send(
        self, kind: RequestKind, vm: ModelVm, task: Task, expires_at: float
    ) -> Answer:
        one_way = self._scenario.model.caller_round_trip / 2
        self._sleep(task, one_way)
        call = Call(
            b'GET',
            prefix_of(kind),
            HOST,
            b'',
            b'',
            # The model's searchers read the work time here.
            str(kind.service_time).encode(),
            self._time.monotonic(),
            expires_at,
        )
        vm.transport.task = task
        answer = vm.forwarder.serve(call, None)
        self._sleep(task, one_way)
        return answer

    def _other_vms(self, vm: ModelVm) -> list[ModelVm]:
        """Return the other VMs of a zone, or the same if it is alone."""
        others = [
            one
            for one in self._deployment.vms
            if one.zone == vm.zone and one is not vm
        ]
        return others or [vm]

    def _sleep(self, task: Task, seconds: float) -> None:
        self._time.call_later(seconds, task.resume)
        task.pause()


def simulate(scenario: Scenario) -> Report:
    """Play a scenario from its first request to its last answer.

    Args:
        scenario: What is played; its seed decides all that is drawn.

    Returns:
        What the callers got, and what it cost the searchers.
    """
    source = random.Random(scenario.seed)
    tally, attempts = Tally(), AttemptCounter()
    with virtual_time() as time:
        world = make_deployment(scenario, time, source, attempts)
        CallerModel(scenario, world, time, source, tally).schedule_arrivals()
        time.run()
    return tally.build_report(scenario, attempts.total)
