"""A request that may run once is relayed again after a searcher's 404."""

import os
import threading
import time
from collections import Counter
from pathlib import Path

from review.stage import (
    CALLER_PORT,
    Link,
    Reply,
    Searcher,
    ask,
    route,
    run_case,
)

#: False if the disruption is left out.
IS_DISTURBED = os.environ.get('TROUBLE') != '0'
ZONES = ('sierra-a', 'sierra-a', 'costa-a')
SERVICE = 'conductores'
SEARCHERS = 4
CALLERS = 3
PAUSE_SECONDS = 0.1
#: The longest `node_cut` and `platform_down` (nodes) of the site file.
CUT_SECONDS = 12.0
TURNED_AWAY_SECONDS = 9.0
CHANGES = 5
CHANGE_GAP_SECONDS = 1.5
NOT_RUN_STATUSES = (408, 421, 429, 503)


def play(stage):
    """Cut one VM off from the searchers while the manifest changes."""
    searchers = []
    links = []
    for number in range(SEARCHERS):
        searcher = Searcher(
            stage.record,
            f'i-{number}',
            lambda *_: Reply(404, b'no such booking'),
        )
        link = Link(searcher.address)
        searcher.address = link.address
        stage.list_searcher(searcher, SERVICE, ZONES[number % 3])
        searchers.append(searcher)
        links.append(link)
    publish(stage)
    store_link = Link(stage.store.address)
    stage.add_vms(ZONES, dict.fromkeys(range(len(ZONES)), store_link.address))
    stage.start_vms()
    stopping = threading.Event()
    statuses = {}
    threads = [
        threading.Thread(
            target=call, args=(stage, number, statuses, stopping), daemon=True
        )
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(4.0)
    if IS_DISTURBED:
        stage.record.add('the links of vm-0 to all searchers are cut')
        for link in links:
            link.cut(stage.vms[0].pid)
    cut_ends_at = time.monotonic() + CUT_SECONDS
    time.sleep(1.0)
    if IS_DISTURBED:
        stage.record.add('the store turns vm-1 away')
        store_link.cut(stage.vms[1].pid)
    turned_away_until = time.monotonic() + TURNED_AWAY_SECONDS
    for _ in range(CHANGES):
        time.sleep(CHANGE_GAP_SECONDS)
        publish(stage)
    time.sleep(max(turned_away_until - time.monotonic(), 0))
    store_link.heal()
    stage.record.add('the store serves vm-1 again')
    time.sleep(max(cut_ends_at - time.monotonic(), 0))
    for link in links:
        link.heal()
    stage.record.add('the links are back')
    time.sleep(1.0)
    stopping.set()
    for thread in threads:
        thread.join(10)
    return list(find_breaks(searchers, statuses))


def publish(stage):
    """Write the next manifest; each one has a further route."""
    version = stage.version + 1
    stage.publish(
        [
            route('/book/', service=SERVICE, type='non_idempotent'),
            route(f'/v{version}/', service=SERVICE),
        ],
        [SERVICE],
    )


def call(stage, number, statuses, stopping):
    """Send bookings to vm-0, each attempt with an id of its own."""
    sent = 0
    while not stopping.wait(PAUSE_SECONDS):
        sent += 1
        request_id = f'{number}-{sent}'
        try:
            status, _, _ = ask(
                stage.vms[0].ip,
                CALLER_PORT,
                'POST',
                f'/book/{request_id}',
                (('Request-Id', request_id), ('Request-Deadline-Ms', '2000')),
                b'truck',
            )
        except OSError as error:
            status = repr(error)
        statuses[request_id] = status
        stage.record.add(f'caller got {status} for id={request_id}')


def find_breaks(searchers, statuses):
    """Yield the requests that ran twice, or ran and were refused."""
    runs = Counter(
        request.headers['request-id']
        for searcher in searchers
        for request in searcher.requests
    )
    for request_id, count in runs.items():
        if count > 1:
            yield f'TWICE: {request_id} ran {count} times'
        if statuses.get(request_id) in NOT_RUN_STATUSES:
            yield f'REFUSED: {request_id} ran, and got {statuses[request_id]}'


run_case(play, Path(__file__).parent)
