"""Model of the callers: they send requests and resend failed ones."""

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
from basilwall.simulation.gossip import schedule_gossip
from basilwall.simulation.report import Report, Tally
from basilwall.simulation.scenarios import RequestKind, Scenario
from basilwall.simulation.virtual_time import Task, VirtualTime, virtual_time

HTTP_OK = 200
#: A caller heeds a retry-after up to this share of its remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3


class AttemptCounter(RequestMetrics):
    """Counts the attempts of all VMs, retries and hedges included."""

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
    """All callers of a simulated deployment."""

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
        """Draw and schedule the arrivals of all kinds of request."""
        for kind in self._scenario.model.kinds:
            rate = kind.rate * self._scenario.load_factor
            arrival_time = self._rng.expovariate(rate)
            while arrival_time < self._scenario.seconds:
                self._time.call_at(
                    arrival_time, partial(self._start_request, kind)
                )
                arrival_time += self._rng.expovariate(rate)

    def _start_request(self, kind: RequestKind) -> None:
        vm = self._draw_vm()
        self._time.start(partial(self._run_request, kind, vm))

    def _draw_vm(self) -> ModelVm:
        vms = self._deployment.vms
        factor = self._scenario.first_zone_factor
        if factor == 1:
            return self._rng.choice(vms)
        weights = [factor if vm.zone == vms[0].zone else 1 for vm in vms]
        return self._rng.choices(vms, weights)[0]

    def _run_request(self, kind: RequestKind, vm: ModelVm, task: Task) -> None:
        started_at = self._time.monotonic()
        expires_at = started_at + kind.deadline
        answer = self._send(kind, vm, task, expires_at)
        for _ in range(self._scenario.model.max_resends):
            seconds_left = expires_at - self._time.monotonic()
            if answer.status == HTTP_OK or seconds_left <= 0:
                break
            self._sleep(
                task,
                min(
                    answer.retry_after or 0,
                    seconds_left * MAX_RETRY_AFTER_SHARE,
                ),
            )
            other_vm = self._rng.choice(self._other_vms(vm))
            answer = self._send(kind, other_vm, task, expires_at)
        seconds = self._time.monotonic() - started_at
        shards = self._scenario.model.shard_count
        self._tally.record(kind, started_at, seconds, answer, shards)

    def _send(
        self, kind: RequestKind, vm: ModelVm, task: Task, expires_at: float
    ) -> Answer:
        one_way_seconds = self._scenario.model.caller_round_trip / 2
        self._sleep(task, one_way_seconds)
        call = Call(
            b'GET',
            prefix_of(kind),
            HOST,
            b'',
            b'',
            # `ModelTransport` reads the service time from the body.
            str(kind.service_time).encode(),
            self._time.monotonic(),
            expires_at,
        )
        vm.transport.task = task
        answer = vm.forwarder.serve(call, None)
        self._sleep(task, one_way_seconds)
        return answer

    def _other_vms(self, vm: ModelVm) -> list[ModelVm]:
        """Return the other VMs of the zone, or `vm` itself if it has none."""
        others = [
            other
            for other in self._deployment.vms
            if other.zone == vm.zone and other is not vm
        ]
        return others or [vm]

    def _sleep(self, task: Task, seconds: float) -> None:
        self._time.call_later(seconds, task.resume)
        task.pause()


def simulate(scenario: Scenario) -> Report:
    """Simulate a scenario from its first request to its last answer.

    Args:
        scenario: The scenario; its seed determines all random draws.

    Returns:
        Results as callers saw them, and the extra load on the searchers.
    """
    return simulate_deployment(scenario)[0]


def simulate_deployment(
    scenario: Scenario,
) -> tuple[Report, SimulatedDeployment]:
    """Simulate a scenario.

    Args:
        scenario: The scenario; its seed determines all random draws.

    Returns:
        The results as callers saw them, and the deployment at the end.
    """
    rng = random.Random(scenario.seed)
    tally, attempts = Tally(), AttemptCounter()
    with virtual_time() as time:
        deployment = make_deployment(scenario, time, rng, attempts)
        CallerModel(scenario, deployment, time, rng, tally).schedule_arrivals()
        schedule_gossip(deployment.vms, time, scenario.seconds)
        time.run()
    return tally.build_report(scenario, attempts.total), deployment
