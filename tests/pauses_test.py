"""A VM that was paused, over separate processes."""

import json
import signal
import time

from tests.processes import deployment, http_call, wait_until

ORDERS = '/v1/services/depot-desk/orders'
#: Longer than a beat may be late, in seconds.
PAUSE = 2.0


def switch_platform(made, **switches):
    body = json.dumps(switches).encode()
    http_call(made.platform, 'PUT', '/switches', body)


def place_order(vm):
    ticket = vm.call(ORDERS).json().get('ticket', '')
    return vm.call(ORDERS, headers={'Idempotency-Key': ticket}).json()


def test_no_order_goes_out_before_lists_were_read_again(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=1) as made:
        (vm,) = made.vms
        assert place_order(vm)['outcome'] == 'ran'
        switch_platform(made, down=True)
        wait_until(lambda: vm.status()['platform']['failures'] > 0)
        vm.signal(signal.SIGSTOP)
        time.sleep(PAUSE)
        vm.signal(signal.SIGCONT)
        refused = place_order(vm)
        assert (refused['outcome'], refused['reason']) == ('not_run', 'paused')
        assert len(made.records('order')) == 1
        switch_platform(made, down=False)
        wait_until(lambda: place_order(vm)['outcome'] == 'ran')
        assert len(made.records('order')) == 2
