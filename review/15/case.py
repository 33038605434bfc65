"""The store's revisions pass a limit of the VMs, and no change counts more."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stage_3 as stage

VMS, REQUESTS = 3, 20
#: Where the counter of the store stands at the start.
HIGH_REVISION, LOW_REVISION = 99_999_999_970, 100
#: Changes of searchers' entries before the manifest changes.
ENTRY_CHANGES = 40
APPLY_SECONDS = stage.BOUNDS['config_apply_ms'] / 1000
RESTART_SECONDS = 15


def play(record):
    """Return whether the new manifest is in force in time."""

    def serve(connection, request, start):
        stage.read_body(connection, request, start)
        service = request.headers['expect-instance'].split('.')[0]
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: %b\r\n'
            b'Server-Stamp: %b\r\n\r\n'
            % (request.request_id.encode(), service.encode())
        )
        return True

    first = HIGH_REVISION if stage.has_trouble() else LOW_REVISION
    store = stage.Store(first)
    record.write(f'the counter of the store starts at {first}')
    services = ('old', 'new')
    searchers = [
        stage.Searcher(f'{service}.{number}', serve)
        for service in services
        for number in range(2)
    ]
    for searcher in searchers:
        list_searcher(store, searcher, cold_left_ms=0)
    publish(store, 1, 'old')
    with stage.running_vms(store, VMS) as vms:
        count(vms, 'before', 'old', record)
        for number in range(ENTRY_CHANGES):
            searcher = searchers[number % len(searchers)]
            list_searcher(store, searcher, cold_left_ms=number % 7)
            time.sleep(0.05)
        publish(store, 2, 'new')
        record.write(f'version 2 acked, revision {store.revision}')
        time.sleep(APPLY_SECONDS + 1)
        by_new = count(vms, 'after', 'new', record)
        has_held = by_new == VMS * REQUESTS
        if not has_held:
            record.write('CONFIG: handled as only version 1 allows')
        show_restart(vms[0], record)
    return has_held


def list_searcher(store, searcher, cold_left_ms):
    """Write the entry of a searcher."""
    service = searcher.searcher_id.split('.')[0]
    entry = stage.entry_of(service, searcher.address, cold_left_ms=cold_left_ms)
    store.put(f'servers/{searcher.searcher_id}', entry)


def publish(store, version, service):
    """Publish a manifest with one route to a service."""
    routes = [stage.route('/card/', service=service)]
    store.put('op/config', stage.manifest(version, routes, ['old', 'new']))


def count(vms, when, service, record):
    """Return how many requests are run by a service."""
    found = []
    for vm in vms:
        for number in range(REQUESTS):
            request_id = f'{when}-{vm.ip}-{number}'
            answer = stage.ask(vm, 'GET', '/card/x', request_id)
            found.append(answer.headers.get('server-stamp', answer.status))
    by_service = {one: found.count(one) for one in sorted(set(map(str, found)))}
    record.write(f'{when}: requests by the service that ran them: {by_service}')
    return found.count(service)


def show_restart(vm, record):
    """Stop and start a VM by plan, and write how it serves then."""
    record.write('one VM is stopped by SIGTERM and started again')
    vm.process.send_signal(signal.SIGTERM)
    vm.process.wait(stage.BOUNDS['grace_s'])
    vm.start()
    ends_at = time.monotonic() + RESTART_SECONDS
    while time.monotonic() < ends_at and not vm.is_ready():
        time.sleep(0.2)
    answer = stage.ask(vm, 'GET', '/card/x', 'restarted')
    record.write(f'it is ready: {vm.is_ready()}; a request gets {answer}')


if __name__ == '__main__':
    sys.exit(stage.run_case(Path(__file__).resolve().parent, play))
