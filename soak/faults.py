"""Injects faults and planned operations, drawn from a seed.

The actions run on threads and overlap.
"""

import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from basilwall.standin.platform_searcher import Behaviour
from soak.deployment import LimitSpan
from soak.proxy import ProxyMode

FAULTY_PROXY_MODES = (
    ProxyMode.DELAY,
    ProxyMode.RESET,
    ProxyMode.SILENT,
    ProxyMode.NO_REPLIES,
)
FAULTY_BEHAVIOURS = (
    Behaviour.SHED,
    Behaviour.FAIL,
    Behaviour.RESET,
    Behaviour.CUT_SHORT,
    Behaviour.SPOIL,
    Behaviour.EXTRA_AFTER,
    Behaviour.OTHER_BEFORE,
    Behaviour.UNFRAMED,
    Behaviour.SILENT,
    Behaviour.UNAVAILABLE,
)
LATER_BEHAVIOURS = (Behaviour.ENDLESS_HEAD, Behaviour.ENDLESS_BODY)
ENDLESS_BEHAVIOURS = (
    Behaviour.ENDLESS_LENGTH,
    Behaviour.ENDLESS_CHUNKS,
    Behaviour.ENDLESS_TRAILERS,
)
#: Limits that searchers name, in requests per second.
RATE_LIMITS = (0, 0.5, 5, 40)
#: The time that the platform gives a process to stop gracefully.
STOP_GRACE_SECONDS = 6
MAX_RESERVED_VMS = 2
#: A run takes this many times its time at most to get enough requests.
MAX_EXTENSION = 6


class FaultSet(Enum):
    """The unplanned faults that a seed draws from.

    A seed draws other faults once there are more kinds of them, so one that
    failed keeps the set that it failed with.
    """

    FIRST = 'first'
    WITH_RESTORES = 'with_restores'
    WITH_LIMITS = 'with_limits'
    ALL = 'all'


#: These draw what searchers announce, too, and crashing contents.
LATER_FAULT_SETS = frozenset((FaultSet.WITH_LIMITS, FaultSet.ALL))


@dataclass
class Event:
    """One action, for the log of a seed; `at` in seconds since the start."""

    at: float
    description: str


class FaultInjector:
    """Runs randomly drawn actions against a deployment."""

    def __init__(self, deployment, seed, planned_only, fault_set=FaultSet.ALL):
        self.events = []
        self.errors = []
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._started_at = time.monotonic()
        self._reserved_vms = set()
        self._threads = []
        planned = [
            self._stop_vm,
            self._change_route_table,
            self._reload_settings,
            self._drain_searcher,
        ]
        unplanned = [
            self._kill_vm,
            self._pause_vm,
            self._disrupt_store_connections,
            self._disrupt_searcher_connections,
            self._disrupt_searcher_connections,
            self._change_searcher_behaviour,
            self._change_searcher_behaviour,
            *([self._limit_searcher] if fault_set in LATER_FAULT_SETS else ()),
            self._compact_store_history,
            *(() if fault_set is FaultSet.FIRST else [self._restore_store]),
        ]
        self._behaviours = FAULTY_BEHAVIOURS
        if fault_set in LATER_FAULT_SETS:
            self._behaviours += LATER_BEHAVIOURS
        if fault_set is FaultSet.ALL:
            self._behaviours += ENDLESS_BEHAVIOURS
        self._actions: list[Callable] = planned
        if not planned_only:
            self._actions = planned + unplanned

    def run(self, seconds, has_enough_requests):
        """Start actions, then wait until all have ended.

        Args:
            seconds: The least time for which actions are started.
            has_enough_requests: On a slow machine, actions go on until it
                returns True, for `MAX_EXTENSION` times as long at most.
        """
        started_at = time.monotonic()
        ends_at = started_at + seconds
        latest_end_at = started_at + seconds * MAX_EXTENSION
        while time.monotonic() < ends_at or (
            time.monotonic() < latest_end_at and not has_enough_requests()
        ):
            action = self._rng.choice(self._actions)
            thread = threading.Thread(target=self._run_action, args=(action,))
            thread.start()
            self._threads.append(thread)
            time.sleep(self._rng.uniform(0.2, 1))
        for thread in self._threads:
            thread.join()

    def _run_action(self, action):
        try:
            action()
        except Exception as error:
            self.errors.append(f'{action.__name__}: {error!r}')

    def _record_event(self, description):
        self.events.append(
            Event(time.monotonic() - self._started_at, description)
        )

    def _reserve_vm(self):
        """Reserve a VM for one action, None if too many are reserved."""
        with self._deployment.lock:
            free = [
                vm
                for vm in self._deployment.vms
                if vm.number not in self._reserved_vms
            ]
            if len(self._reserved_vms) >= MAX_RESERVED_VMS or not free:
                return None
            vm = self._rng.choice(free)
            self._reserved_vms.add(vm.number)
        return vm

    def _release_vm(self, vm):
        with self._deployment.lock:
            self._reserved_vms.discard(vm.number)

    def _stop_vm(self):
        vm = self._reserve_vm()
        if vm is None:
            return
        self._record_event(f'stop vm-{vm.number}')
        end_disturbance = self._deployment.disturbances.begin(
            f'stop-{vm.number}'
        )
        vm.is_stopping = True
        vm.signal(signal.SIGTERM)
        try:
            vm.process.wait(STOP_GRACE_SECONDS)
        except Exception:
            self.errors.append(
                f'vm-{vm.number} did not stop in {STOP_GRACE_SECONDS} s'
            )
            vm.kill()
        vm.start()
        end_disturbance()
        self._release_vm(vm)

    def _kill_vm(self):
        vm = self._reserve_vm()
        if vm is None:
            return
        self._record_event(f'kill vm-{vm.number}')
        end_disturbance = self._deployment.disturbances.begin(f'vm-{vm.number}')
        vm.kill()
        time.sleep(self._rng.uniform(0.1, 1))
        vm.start()
        end_disturbance()
        self._release_vm(vm)

    def _pause_vm(self):
        vm = self._reserve_vm()
        if vm is None:
            return
        seconds = self._rng.uniform(0.2, 3)
        self._record_event(f'pause vm-{vm.number} for {seconds:.1f} s')
        end_disturbance = self._deployment.disturbances.begin(f'vm-{vm.number}')
        vm.signal(signal.SIGSTOP)
        time.sleep(seconds)
        vm.signal(signal.SIGCONT)
        end_disturbance()
        self._release_vm(vm)

    def _disrupt_store_connections(self):
        mode = self._rng.choice(FAULTY_PROXY_MODES)
        seconds = self._rng.uniform(0.3, 3)
        self._record_event(f'store {mode.value} for {seconds:.1f} s')
        self._apply_proxy_mode(
            self._deployment.store_proxy, 'store', mode, seconds
        )

    def _disrupt_searcher_connections(self):
        searcher_id = self._rng.choice(sorted(self._deployment.proxy_by_id))
        mode = self._rng.choice(FAULTY_PROXY_MODES)
        seconds = self._rng.uniform(0.2, 2)
        self._record_event(f'{searcher_id} {mode.value} for {seconds:.1f} s')
        proxy = self._deployment.proxy_by_id[searcher_id]
        self._apply_proxy_mode(proxy, 'searchers', mode, seconds)

    def _apply_proxy_mode(self, proxy, target, mode, seconds):
        end_disturbance = self._deployment.disturbances.begin(target)
        proxy.set_mode(mode)
        time.sleep(seconds)
        proxy.set_mode(ProxyMode.PASS)
        end_disturbance()

    def _change_searcher_behaviour(self):
        searcher = self._rng.choice(self._deployment.searchers)
        conduct = self._rng.choice(self._behaviours)
        self._record_event(f'{searcher.searcher_id} {conduct.value}')
        end_disturbance = self._deployment.disturbances.begin('searchers')
        searcher.behaviour = conduct
        time.sleep(self._rng.uniform(0.2, 1.5))
        searcher.behaviour = Behaviour.ANSWER
        end_disturbance()

    def _limit_searcher(self):
        searcher = self._rng.choice(self._deployment.searchers)
        limit = self._rng.choice(RATE_LIMITS)
        if searcher.announced.rate_limit is not None:
            return
        self._record_event(f'{searcher.searcher_id} takes {limit} a second')
        span = LimitSpan(searcher, limit, time.monotonic())
        self._deployment.limit_spans.append(span)
        end_disturbance = self._deployment.disturbances.begin('searchers')
        searcher.announced.rate_limit = limit
        time.sleep(self._rng.uniform(1, 9))
        span.ended_at = time.monotonic()
        searcher.announced.rate_limit = None
        end_disturbance()

    def _compact_store_history(self):
        self._record_event('store compacts its history')
        self._deployment.store.compact()

    def _restore_store(self):
        copy = self._deployment.store.copy()
        time.sleep(self._rng.uniform(0.2, 2))
        self._record_event('store comes back from an older copy')
        end_disturbance = self._deployment.disturbances.begin('store')
        self._deployment.restore_store(copy)
        end_disturbance()

    def _change_route_table(self):
        for _ in range(self._rng.choice((1, 1, 3))):
            self._deployment.publish_route_table()
            self._record_event(
                f'published route table {self._deployment.table_version}'
            )
            time.sleep(self._rng.uniform(0, 0.3))

    def _reload_settings(self):
        vm = self._rng.choice(self._deployment.vms)
        self._record_event(f'reload the settings of vm-{vm.number}')
        self._deployment.rewrite_settings(vm)
        if vm.process.poll() is None:
            vm.signal(signal.SIGHUP)

    def _drain_searcher(self):
        with self._deployment.lock:
            active_searchers = [
                candidate
                for candidate in self._deployment.live_searchers()
                if candidate.searcher_id not in self._deployment.drained_at
            ]
            searcher = self._rng.choice(active_searchers)
            service, zone, _ = searcher.searcher_id.split('.')
            replacement = self._deployment.add_searcher(
                service,
                zone,
                self._rng.randrange(10),
            )
            self._deployment.list_searcher(searcher, 'draining')
            self._deployment.drained_at[searcher.searcher_id] = time.monotonic()
        self._record_event(
            f'{searcher.searcher_id} drains, '
            f'{replacement.searcher_id} replaces it'
        )
