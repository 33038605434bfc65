"""All VMs are killed, more than once, while a content ends searchers.

Nothing tells a new process what its predecessors had quarantined, and each time
the content ends two more searchers.
"""

import collections
import itertools
import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stage_2

#: False if the disruption is left out.
IS_DISTURBED = os.environ.get('TROUBLE') != '0'
SERVICE, OTHER_SERVICE = 'account-view', 'route-planner'
SEARCHERS_IN_ZONE = 2
VM_COUNT = 3
WORK_SECONDS = 0.03
BACK_SECONDS = 2.0
REQUEST_INTERVAL_SECONDS = 0.05
CONTENT = '/goka902/deadly'
#: Repeats of the content before the first kill, and after each one.
REPEATS = 3
REPEAT_SECONDS = 2.5
KILLS = 3
#: A machine is in touch so long after its start, and a little more.
IN_TOUCH_SECONDS = stage_2.BOUNDS['stable_ms'] / 1000 + 0.5
#: The rule: the crashes after which it counts, and the retries that it allows.
CRASHES, MAX_RETRIES = 3, 3


class Clients:
    """Send other requests, and the content when told to."""

    def __init__(self, stage):
        self.statuses = collections.Counter()
        self.vm_by_request = {}
        self._stage = stage
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        """Stop sending."""
        self._stopping.set()
        self._thread.join()

    def send(self, name, path):
        """Send a request that may run once; return its status."""
        vm = random.choice(self._stage.vms)
        request_id = f'{name}{next(self._numbers)}'
        self.vm_by_request[request_id] = vm
        self._stage.record.add('sent', request_id, 'to vm', vm.number)
        status, _, _ = stage_2.ask(
            vm.address,
            'POST',
            path,
            {
                'Host': 'leno12.example',
                'Request-Id': request_id,
                'Request-Deadline-Ms': '5000',
            },
            b'x' * 300,
        )
        self._stage.record.add('answered', request_id, status)
        return status

    def _run(self):
        while not self._stopping.wait(REQUEST_INTERVAL_SECONDS):
            threading.Thread(target=self._send_other, daemon=True).start()

    def _send_other(self):
        prefix = random.choice(('/goka902/', '/rany330/'))
        path = f'{prefix}{next(self._numbers)}'
        self.statuses[self.send('r', path)] += 1


def play(stage):
    """Play the case."""
    arrivals = []

    def decide(searcher, request):
        if request.target != CONTENT:
            return stage_2.Reply(body=b'x' * 100, work_seconds=WORK_SECONDS)
        arrivals.append(request)
        threading.Timer(BACK_SECONDS, searcher.start).start()
        return stage_2.Reply(work_seconds=WORK_SECONDS, crashes=True)

    for service in (SERVICE, OTHER_SERVICE):
        for zone in stage_2.ZONES:
            for _ in range(SEARCHERS_IN_ZONE):
                stage.add_searcher(service, zone, decide)
    routes = [
        stage_2.route(
            f'r-{service}', prefix, service=service, type='non_idempotent'
        )
        for service, prefix in (
            (SERVICE, '/goka902/'),
            (OTHER_SERVICE, '/rany330/'),
        )
    ]
    stage.store.put(
        'op/config', stage_2.manifest(7, routes, [SERVICE, OTHER_SERVICE])
    )
    stage.start_vms(VM_COUNT)
    clients = Clients(stage)
    time.sleep(IN_TOUCH_SECONDS)
    _repeat(clients)
    for _ in range(KILLS):
        if IS_DISTURBED:
            _kill_all(stage)
        time.sleep(IN_TOUCH_SECONDS)
        _repeat(clients)
    clients.stop()
    time.sleep(1)
    stage.record.say('other requests:', dict(clients.statuses))
    return _judge(stage, arrivals)


def _repeat(clients):
    for _ in range(REPEATS):
        clients.send('deadly-', CONTENT)
        time.sleep(REPEAT_SECONDS)


def _kill_all(stage):
    for vm in stage.vms:
        vm.process.kill()
    for vm in stage.vms:
        vm.kill()
        vm.start()
    stage.wait_ready()


def _judge(stage, arrivals):
    """Count the retries that reached searchers after the third crash."""
    late = set()
    if len(arrivals) >= CRASHES:
        stable_seconds = stage_2.BOUNDS['stable_ms'] / 1000
        counted_from = arrivals[CRASHES - 1].at + WORK_SECONDS + stable_seconds
        late = {
            request.request_id
            for request in arrivals
            if request.at > counted_from
        }
    stage.record.say(
        f'the content ended {len(arrivals)} searchers; retries that reached'
        f' one later than stable_ms after the third: {len(late)},'
        f' {MAX_RETRIES} allowed'
    )
    return stage_2.BROKEN if len(late) > MAX_RETRIES else stage_2.HELD


if __name__ == '__main__':
    stage_2.main(__file__, play)
