"""A manifest with one long prefix is never in force, nor any after it.

The new version adds two routes, one of them with a prefix of 300 bytes. No VM
takes it, and a VM that is restarted by plan has no manifest at all.
"""

import collections
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stage_2

#: False if the disruption is left out.
IS_DISTURBED = os.environ.get('TROUBLE') != '0'
SERVICE = 'account-view'
VM_COUNT = 3
OLD_PREFIX, NEW_PREFIX = '/goka902/', '/nono601/'
LONG_PREFIX_BYTES, SHORT_PREFIX_BYTES = 300, 30
REQUESTS = 20
#: Waited after the ack, beyond the bound of the rule.
MORE_SECONDS = 2.0
STOP_SECONDS = 6.0
START_SECONDS = 15.0


def play(stage):
    """Play the case."""
    for zone in stage_2.ZONES:
        stage.add_searcher(SERVICE, zone, _answer)
    old = stage_2.route('r-old', OLD_PREFIX, service=SERVICE)
    stage.store.put('op/config', stage_2.manifest(7, [old], [SERVICE]))
    stage.start_vms(VM_COUNT)
    _send(stage, 'before', OLD_PREFIX)
    size = LONG_PREFIX_BYTES if IS_DISTURBED else SHORT_PREFIX_BYTES
    prefix = f'/{"p" * (size - 2)}/'
    routes = [
        old,
        stage_2.route('r-new', NEW_PREFIX, service=SERVICE),
        stage_2.route('r-long', prefix, service=SERVICE),
    ]
    stage.store.put('op/config', stage_2.manifest(8, routes, [SERVICE]))
    stage.record.add('version 8, with a prefix of', size, 'bytes, is acked')
    time.sleep(stage_2.BOUNDS['config_apply_ms'] / 1000 + MORE_SECONDS)
    by_new_route = _send(stage, 'new', NEW_PREFIX)
    by_long_route = _send(stage, 'long', prefix)
    restarted = stage.vms[0]
    restarted.stop(STOP_SECONDS)
    restarted.start()
    is_ready = stage_2.wait_until(restarted.is_ready, START_SECONDS)
    stage.record.say('the restarted VM is', 'ready' if is_ready else 'unready')
    after_restart = _send(stage, 'after', OLD_PREFIX, stage.vms[:1])
    stage.record.say('route r-new:', dict(by_new_route))
    stage.record.say('route r-long:', dict(by_long_route))
    stage.record.say('old route at the restarted VM:', dict(after_restart))
    is_broken = by_new_route[404] or by_long_route[404]
    return stage_2.BROKEN if is_broken else stage_2.HELD


def _answer(*_):
    return stage_2.Reply(body=b'x' * 100)


def _send(stage, name, prefix, vms=None):
    """Send requests below a prefix; return how many got which status."""
    statuses = collections.Counter()
    for number in range(REQUESTS):
        vm = (vms or stage.vms)[number % len(vms or stage.vms)]
        request_id = f'{name}-{number}'
        stage.record.add('sent', request_id, 'to vm', vm.number)
        status, _, _ = stage_2.ask(
            vm.address,
            path=f'{prefix}{number}',
            headers={
                'Host': 'leno12.example',
                'Request-Id': request_id,
                'Request-Deadline-Ms': '5000',
            },
        )
        statuses[status] += 1
        stage.record.add('answered', request_id, status)
    return statuses


if __name__ == '__main__':
    stage_2.main(__file__, play)
