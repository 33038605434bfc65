"""Faults and planned work, drawn by a seed, in series that overlap."""

import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from basilwall.standin.record_searcher import Conduct
from soak.proxy import Treatment

TREATMENTS = (
    Treatment.DELAY,
    Treatment.RESET,
    Treatment.SILENT,
    Treatment.NO_REPLIES,
)
CONDUCTS = (
    Conduct.SHED,
    Conduct.FAIL,
    Conduct.RESET,
    Conduct.CUT_SHORT,
    Conduct.SPOIL,
    Conduct.EXTRA_AFTER,
    Conduct.OTHER_BEFORE,
    Conduct.UNFRAMED,
    Conduct.SILENT,
    Conduct.UNAVAILABLE,
)
#: A process gets as long as the platform gives it to stop, in seconds.
GRACE = 6
MOST_VMS_AWAY = 2


@dataclass
class Event:
    """One thing that is done to the world, for the log of a seed."""

    at: float
    what: str


class Faults:
    """Does one thing after the other to a world."""

    def __init__(self, world, seed, planned_only):
        self.events = []
        self.errors = []
        self._world = world
        self._source = random.Random(seed)
        self._began = time.monotonic()
        self._away = set()
        self._threads = []
        planned = [self._stop, self._change_table, self._hang_up, self._drain]
        unplanned = [
            self._kill,
            self._pause,
            self._treat_store,
            self._treat_searcher,
            self._treat_searcher,
            self._misbehave,
            self._misbehave,
            self._forget,
        ]
        self._actions: list[Callable] = planned
        if not planned_only:
            self._actions = planned + unplanned

    def run(self, seconds):
        """Do things for some time, then wait for what was begun."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            action = self._source.choice(self._actions)
            thread = threading.Thread(target=self._do, args=(action,))
            thread.start()
            self._threads.append(thread)
            time.sleep(self._source.uniform(0.2, 1))
        for thread in self._threads:
            thread.join()

    def _do(self, action):
        try:
            action()
        except Exception as error:
            self.errors.append(f'{action.__name__}: {error!r}')

    def _note(self, what):
        self.events.append(Event(time.monotonic() - self._began, what))

    def _take_vm(self):
        """Return a VM for one action alone, None if too many are away."""
        with self._world.lock:
            free = [vm for vm in self._world.vms if vm.number not in self._away]
            if len(self._away) >= MOST_VMS_AWAY or not free:
                return None
            vm = self._source.choice(free)
            self._away.add(vm.number)
        return vm

    def _release(self, vm):
        with self._world.lock:
            self._away.discard(vm.number)

    def _stop(self):
        vm = self._take_vm()
        if vm is None:
            return
        self._note(f'stop vm-{vm.number}')
        end = self._world.disturbances.begin(f'stop-{vm.number}')
        vm.is_stopping = True
        vm.signal(signal.SIGTERM)
        try:
            vm.process.wait(GRACE)
        except Exception:
            self.errors.append(f'vm-{vm.number} did not stop in {GRACE} s')
            vm.end()
        vm.start()
        end()
        self._release(vm)

    def _kill(self):
        vm = self._take_vm()
        if vm is None:
            return
        self._note(f'kill vm-{vm.number}')
        end = self._world.disturbances.begin(f'vm-{vm.number}')
        vm.end()
        time.sleep(self._source.uniform(0.1, 1))
        vm.start()
        end()
        self._release(vm)

    def _pause(self):
        vm = self._take_vm()
        if vm is None:
            return
        seconds = self._source.uniform(0.2, 3)
        self._note(f'pause vm-{vm.number} for {seconds:.1f} s')
        end = self._world.disturbances.begin(f'vm-{vm.number}')
        vm.signal(signal.SIGSTOP)
        time.sleep(seconds)
        vm.signal(signal.SIGCONT)
        end()
        self._release(vm)

    def _treat_store(self):
        treatment = self._source.choice(TREATMENTS)
        seconds = self._source.uniform(0.3, 3)
        self._note(f'store {treatment.value} for {seconds:.1f} s')
        self._treat(self._world.store_proxy, 'store', treatment, seconds)

    def _treat_searcher(self):
        searcher_id = self._source.choice(sorted(self._world.proxy_by_id))
        treatment = self._source.choice(TREATMENTS)
        seconds = self._source.uniform(0.2, 2)
        self._note(f'{searcher_id} {treatment.value} for {seconds:.1f} s')
        proxy = self._world.proxy_by_id[searcher_id]
        self._treat(proxy, 'searchers', treatment, seconds)

    def _treat(self, proxy, what, treatment, seconds):
        end = self._world.disturbances.begin(what)
        proxy.treat(treatment)
        time.sleep(seconds)
        proxy.treat(Treatment.PASS)
        end()

    def _misbehave(self):
        searcher = self._source.choice(self._world.searchers)
        conduct = self._source.choice(CONDUCTS)
        self._note(f'{searcher.searcher_id} {conduct.value}')
        end = self._world.disturbances.begin('searchers')
        searcher.conduct = conduct
        time.sleep(self._source.uniform(0.2, 1.5))
        searcher.conduct = Conduct.ANSWER
        end()

    def _forget(self):
        self._note('store forgets its history')
        self._world.store.forget()

    def _change_table(self):
        for _ in range(self._source.choice((1, 1, 3))):
            self._world.change_table()
            self._note(f'table {self._world.version}')
            time.sleep(self._source.uniform(0, 0.3))

    def _hang_up(self):
        vm = self._source.choice(self._world.vms)
        self._note(f'settings of vm-{vm.number}')
        self._world.rewrite_settings(vm)
        if vm.process.poll() is None:
            vm.signal(signal.SIGHUP)

    def _drain(self):
        with self._world.lock:
            staying = [
                one
                for one in self._world.searchers
                if one.searcher_id not in self._world.drained_at
            ]
            searcher = self._source.choice(staying)
            service, zone, _ = searcher.searcher_id.split('.')
            fresh = self._world.add_searcher(
                service,
                zone,
                self._source.randrange(10),
            )
            self._world.list_searcher(searcher, 'draining')
            self._world.drained_at[searcher.searcher_id] = time.monotonic()
        self._note(f'{searcher.searcher_id} drains, {fresh.searcher_id} comes')
