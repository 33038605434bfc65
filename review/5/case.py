"""A kept connection goes on with the limits of an older manifest."""

import os
import socket
import time
from collections import Counter
from pathlib import Path

from review.stage import (
    CALLER_PORT,
    LIMITS,
    Reply,
    Searcher,
    receive,
    route,
    run_case,
    send,
)

#: False if the disruption is left out.
IS_DISTURBED = os.environ.get('TROUBLE') != '0'
ZONES = ('amman-sahab', 'irbid-hassan', 'aqaba-port')
SERVICE = 'account-view'
CALLERS = 24
CONFIG_APPLY_SECONDS = 4.0
#: Less than the four fifths of `idle_timeout_ms` for which callers reuse.
IDLE_SECONDS = CONFIG_APPLY_SECONDS + 2.0
OLD_MAX_BODY_BYTES, NEW_MAX_BODY_BYTES = 65_536, 262_144
BODY = b'x' * 100_000
ALLOWED = 5


def play(stage):
    """Raise a limit of the manifest while callers' connections are idle."""
    for number in range(4):
        searcher = Searcher(stage.record, f'i-{number}', lambda *_: Reply())
        stage.list_searcher(searcher, SERVICE, ZONES[number % len(ZONES)])
    routes = [route('/card/', service=SERVICE)]
    new_limits = {**LIMITS, 'max_body_bytes': NEW_MAX_BODY_BYTES}
    old_limits = {**LIMITS, 'max_body_bytes': OLD_MAX_BODY_BYTES}
    stage.publish(routes, [SERVICE], old_limits if IS_DISTURBED else new_limits)
    stage.add_vms(ZONES)
    stage.start_vms()
    connections = []
    for number in range(CALLERS):
        vm = stage.vms[number % len(stage.vms)]
        connection = socket.create_connection((vm.ip, CALLER_PORT), 10)
        connections.append((vm, connection, connection.makefile('rb')))
    post_all(stage, connections, 'first', b'x')
    time.sleep(1.0)
    stage.publish(routes, [SERVICE], new_limits)
    time.sleep(IDLE_SECONDS)
    statuses = post_all(stage, connections, 'second', BODY)
    sent = 2 * CALLERS
    denied = sum(
        count
        for status, count in statuses.items()
        if isinstance(status, int)
        and 300 <= status < 500
        and status not in {408, 421, 429}
    )
    stage.record.add(f'answers to the second requests: {dict(statuses)}')
    if denied > ALLOWED + sent / 500:
        return [
            f'DENIED: {denied} of {sent} requests that the manifest allows: '
            f'{dict(statuses)}'
        ]
    return []


def post_all(stage, connections, name, body):
    """Send one request on each connection; return how they were answered."""
    statuses = Counter()
    for number, (vm, connection, stream) in enumerate(connections):
        headers = (
            ('Request-Id', f'{name}-{number}'),
            ('Request-Deadline-Ms', '5000'),
        )
        try:
            send(connection, 'POST', f'/card/{number}', headers, body)
            status = receive(stream)[0]
        except OSError as error:
            status = repr(error)
        statuses[status] += 1
        stage.record.add(
            f'caller got {status} for id={name}-{number} from {vm.name}, '
            f'a body of {len(body)} bytes'
        )
    return statuses


run_case(play, Path(__file__).parent)
