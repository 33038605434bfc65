"""Callers: they ask, wait, and come back once after a failure."""

import random
from functools import partial

from basilwall.forwarding.reporting import RequestMetrics, Trail
from basilwall.records.forwarding import Answer, Call
from basilwall.records.ids import RouteName
from basilwall.simulation.report import Report, Tally
from basilwall.simulation.shapes import RequestKind, Scenario
from basilwall.simulation.virtual_time import Task, VirtualTime, virtual_time
from basilwall.simulation.world import (
    HOST,
    ModelVm,
    World,
    make_world,
    prefix_of,
)

HTTP_OK = 200
#: A caller honours a time to come back up to this part of its time left.
HONOURED = 1 / 3


class Attempts(RequestMetrics):
    """Counts the attempts and hedges that all VMs made."""

    def __init__(self) -> None:
        self.made = 0

    def observe(
        self,
        route: RouteName,
        answer: Answer,
        seconds: float,
        trail: Trail,
    ) -> None:
        """Count the attempts of one request."""
        self.made += trail.attempts


class Callers:
    """All callers of a deployment."""

    def __init__(
        self,
        scenario: Scenario,
        world: World,
        time: VirtualTime,
        source: random.Random,
        tally: Tally,
    ) -> None:
        self._scenario = scenario
        self._world = world
        self._time = time
        self._source = source
        self._tally = tally

    def arrive(self) -> None:
        """Draw the arrivals of all kinds."""
        for kind in self._scenario.shape.kinds:
            rate = kind.rate * self._scenario.load
            moment = self._source.expovariate(rate)
            while moment < self._scenario.seconds:
                self._time.at(moment, partial(self._ask, kind))
                moment += self._source.expovariate(rate)

    def _ask(self, kind: RequestKind) -> None:
        vm = self._source.choice(self._world.vms)
        self._time.start(partial(self._call, kind, vm))

    def _call(self, kind: RequestKind, vm: ModelVm, task: Task) -> None:
        began_at = self._time.monotonic()
        expires_at = began_at + kind.deadline
        answer = self._send(kind, vm, task, expires_at)
        for _ in range(self._scenario.shape.resends):
            left = expires_at - self._time.monotonic()
            if answer.status == HTTP_OK or left <= 0:
                break
            self._sleep(task, min(answer.retry_after or 0, left * HONOURED))
            again = self._source.choice(self._beside(vm))
            answer = self._send(kind, again, task, expires_at)
        seconds = self._time.monotonic() - began_at
        shards = self._scenario.shape.shards
        self._tally.count(kind, began_at, seconds, answer, shards)

    def _send(
        self, kind: RequestKind, vm: ModelVm, task: Task, expires_at: float
    ) -> Answer:
        one_way = self._scenario.shape.caller_trip / 2
        self._sleep(task, one_way)
        call = Call(
            b'GET',
            prefix_of(kind),
            HOST,
            b'',
            b'',
            # The model's searchers read the work time here.
            str(kind.work).encode(),
            self._time.monotonic(),
            expires_at,
        )
        vm.transport.task = task
        answer = vm.forwarder.serve(call, None)
        self._sleep(task, one_way)
        return answer

    def _beside(self, vm: ModelVm) -> list[ModelVm]:
        """Return the other VMs of a zone, or the same if it is alone."""
        others = [
            one
            for one in self._world.vms
            if one.zone == vm.zone and one is not vm
        ]
        return others or [vm]

    def _sleep(self, task: Task, seconds: float) -> None:
        self._time.after(seconds, task.resume)
        task.pause()


def simulate(scenario: Scenario) -> Report:
    """Play a scenario from its first request to its last answer.

    Args:
        scenario: What is played; its seed decides all that is drawn.

    Returns:
        What the callers got, and what it cost the searchers.
    """
    source = random.Random(scenario.seed)
    tally, attempts = Tally(), Attempts()
    with virtual_time() as time:
        world = make_world(scenario, time, source, attempts)
        Callers(scenario, world, time, source, tally).arrive()
        time.run()
    return tally.report(scenario, attempts.made)
