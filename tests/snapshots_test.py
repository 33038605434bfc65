"""A roll-over and a repartition, published while queries run through VMs."""

import itertools
import json
import statistics
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from basilwall.document.keys import catalogue_key, document_key
from basilwall.records.catalogue import Catalogue, Part, Snapshot
from tests.processes import deployment, wait_until

SERVICE = 'depot-desk'
#: Time between the replicas that load an index, in seconds.
STEP = 0.3
CALLERS_A_VM = 2
DOCUMENT = {
    'service': SERVICE,
    'tolerated_coverage': 0,
    'weighs': 'coverage',
}


def snapshot_of(name, instances, addresses):
    """Return a snapshot with the addresses dealt out to its parts."""
    replicas = len(addresses) // instances
    parts = [
        Part(
            f'{SERVICE}-{place}',
            tuple(addresses[place * replicas :][:replicas]),
            100,
        )
        for place in range(instances)
    ]
    return Snapshot(name, tuple(parts))


class Callers:
    """Ask through all VMs without a pause, and keep what came back."""

    def __init__(self, made, parts_by_snapshot):
        self.made = made
        self.parts_by_snapshot = parts_by_snapshot
        self.replies = []
        self.stopping = threading.Event()

    def run(self, vm, name):
        """Ask one VM until the end."""
        for number in itertools.count():
            if self.stopping.is_set():
                return
            token = f'{name}/{number}'
            started = time.monotonic()
            reply = vm.call(
                f'/v1/services/{SERVICE}/query',
                json.dumps(token).encode(),
                {'Request-Id': 'the-same', 'Request-Timeout-Ms': '500'},
            )
            took = time.monotonic() - started
            self.replies.append((token, reply, took, started))

    def check(self):
        """Hold every reply against the map and what searchers ran."""
        ran_by_body, attempt_ids = {}, set()
        for record in self.made.records('query'):
            ran_by_body.setdefault(record['body'], []).append(record)
            assert record['attempt_id'] not in attempt_ids
            attempt_ids.add(record['attempt_id'])
        for token, reply, _, _ in self.replies:
            body = reply.json()
            if reply.status == 200:
                ran = ran_by_body.get(json.dumps(token), [])
                self._check_answer(token, body, ran)
            else:
                assert int(reply.headers['Retry-After']) > 0
                assert body['reason'] == 'low_coverage'

    def _check_answer(self, token, body, ran):
        snapshot, coverage = body['snapshot'], body['coverage']
        parts = self.parts_by_snapshot[snapshot]
        missing = {one['instance'] for one in coverage['missing']}
        for one in body['results']:
            assert (one['snapshot'], one['echo']) == (snapshot, token)
        instances = [one['instance'] for one in body['results']]
        assert len(set(instances)) == len(instances)
        assert set(instances) | missing == {part.instance for part in parts}
        assert not missing.intersection(instances)
        assert coverage['total'] == len(parts)
        assert coverage['answered'] == len(instances)
        assert coverage['records_total'] == 100 * len(parts)
        assert coverage['records_covered'] == 100 * len(instances)
        assert coverage['complete'] == (not missing)
        on_it = [record for record in ran if record['snapshot'] == snapshot]
        assert len(on_it) >= len(instances)

    def summary(self, since):
        """Return figures of the replies since a moment."""
        shares, tooks = [], []
        for _, reply, took, started in self.replies:
            if started >= since:
                coverage = reply.json()['coverage']
                shares.append(coverage['answered'] / coverage['total'])
                tooks.append(took * 1000)
        cuts = statistics.quantiles(tooks, n=100)
        whole = sum(share == 1 for share in shares) / len(shares)
        return (
            f'{len(shares)} queries, coverage {statistics.mean(shares):.4f}, '
            f'complete {whole:.4f}, p50 {cuts[49]:.0f} ms, '
            f'p99 {cuts[98]:.0f} ms'
        )


def publish(made, *snapshots):
    """Publish the snapshots of the service, newest first."""
    entry = Catalogue(SERVICE, snapshots, 2, 25)
    made.publish(catalogue_key(SERVICE), msgspec.json.encode(entry))


def load(made, addresses, *snapshots):
    """Let each replica serve other snapshots, one replica at a time."""
    for place in range(3):
        for address in addresses[place::3]:
            made.switch(address, snapshots=list(snapshots))
        time.sleep(STEP)


@pytest.mark.parametrize('keeps_former', [True, False])
def test_no_answer_mixes_snapshots(tmp_path, keeps_former):
    with deployment('qasr-al-jamr', tmp_path, processes=3) as made:
        addresses = made.searchers()[:30]
        first, second, third = (
            snapshot_of('s1', 10, addresses),
            snapshot_of('s2', 10, addresses),
            snapshot_of('s3', 15, addresses),
        )
        made.publish(
            document_key(SERVICE),
            json.dumps(DOCUMENT).encode(),
        )
        publish(made, first)
        callers = Callers(
            made,
            {one.snapshot_id: one.parts for one in (first, second, third)},
        )
        with ThreadPoolExecutor(CALLERS_A_VM * len(made.vms)) as pool:
            runs = [
                pool.submit(callers.run, vm, f'{place}-{number}')
                for place, vm in enumerate(made.vms)
                for number in range(CALLERS_A_VM)
            ]
            try:
                _change(
                    made,
                    callers,
                    addresses,
                    (first, second, third),
                    keeps_former,
                )
            finally:
                callers.stopping.set()
            for run in runs:
                run.result()
        callers.check()


def _change(made, callers, addresses, snapshots, keeps_former):
    first, second, third = snapshots
    # This one answers from an older index than the one asked for.
    made.switch(addresses[0], claims='s0')
    for former, newer in ((first, second), (second, third)):
        time.sleep(5 * STEP)
        since = time.monotonic()
        publish(made, newer, former)
        time.sleep(STEP)
        if keeps_former:
            load(made, addresses, newer.snapshot_id, former.snapshot_id)
            publish(made, newer)
        load(made, addresses, newer.snapshot_id)
        publish(made, newer)
        time.sleep(5 * STEP)
        print(newer.snapshot_id, keeps_former, callers.summary(since))
    newest = [r.json()['snapshot'] for _, r, _, _ in callers.replies[-20:]]
    wait_until(lambda: set(newest) == {'s3'}, 1)
