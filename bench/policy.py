"""Slow and frozen searchers and overload, compared with baseline clients."""

import json
from pathlib import Path

from basilwall.load.plan import LoadPlan
from basilwall.load.run import LoadRun
from basilwall.load.tally import LoadReport
from basilwall.records.catalogue import Snapshot
from basilwall.standin.deployment import SHAPES_BY_DEPLOYMENT, make_snapshot
from bench.direct import DirectFanOut, DirectResult
from bench.report import Row
from tests.processes import Deployment, deployment, wait_until

SEED = 1
SERVICE_BY_DEPLOYMENT = {
    'qasr-al-jamr': 'depot-desk',
    'transandina': 'despacho',
}
OVERLOADED_BY_DEPLOYMENT = {
    'qasr-al-jamr': 'account-view',
    'transandina': 'conductores',
}
QUERIES_PER_SECOND = 30
LOAD_SECONDS = 4
WARM_UP_SECONDS = 2
DEADLINE_MS = 1000
#: A searcher this much slower answers no query before its deadline.
FROZEN_LATENCY_FACTOR = 1000
FIXED_TIMEOUT_SECONDS = 0.03
OVERLOAD_SERVICE_MS = 60
OVERLOAD_DEADLINE_MS = 300
#: Offered load as a multiple of the capacity, in the order of the runs.
LOAD_FACTORS = (0.7, 1, 1.5, 3, 0.5)


def measure_stragglers(folder: Path, name: str) -> list[Row]:
    """Measure latency with slow and with frozen searchers.

    First 5% of the searchers are 10 and then 50 times slower, then one or two
    replicas of every part are frozen. Ratios are to the run without faults.
    """
    service = SERVICE_BY_DEPLOYMENT[name]
    rows = []
    with deployment(name, folder, service_ms=5) as cluster:
        _set_faults(cluster, cluster.searchers(), spread_ms=2)
        snapshot = _make_published_snapshot(cluster, service)
        slow = [part.searchers[0] for part in snapshot.parts[::5]]
        frozen = [
            address for part in snapshot.parts for address in part.searchers[1:]
        ]
        baselines: dict[str, float] = {}
        for case, addresses, straggle in (
            ('steady', [], 1),
            ('5% straggle 10 times', slow, 10),
            ('5% straggle 50 times', slow, 50),
            ('one frozen in each', frozen[::2], FROZEN_LATENCY_FACTOR),
            ('two of three frozen in each', frozen, FROZEN_LATENCY_FACTOR),
        ):
            _set_faults(cluster, addresses, straggle=straggle)
            for client_name, result in _measure_clients(
                cluster, service, snapshot
            ).items():
                p99_ms, figure = result
                baseline = baselines.setdefault(client_name, p99_ms)
                rows.append(
                    Row(
                        f'{case}, {client_name}',
                        figure,
                        f'p99 x {p99_ms / baseline:.2f}',
                    ),
                )
            _set_faults(cluster, addresses, straggle=1)
    return rows


def _measure_clients(
    cluster: Deployment,
    service: str,
    snapshot: Snapshot,
) -> dict[str, tuple[float, str]]:
    results = {}
    for client_name, settings in (
        ('tier', {}),
        ('tier, no extra', {'extra_load': 0}),
    ):
        _publish(cluster, service, deadline_ms=DEADLINE_MS, **settings)
        _load(cluster, service, QUERIES_PER_SECOND, WARM_UP_SECONDS)
        report = _load(cluster, service, QUERIES_PER_SECOND, LOAD_SECONDS)
        results[client_name] = (report.answered.p99_ms, _format_report(report))
    plan = _plan(cluster, service, QUERIES_PER_SECOND, LOAD_SECONDS)
    query_timeout = DEADLINE_MS / 1000
    for client_name, timeout in (
        ('random', None),
        ('timeout+retry', FIXED_TIMEOUT_SECONDS),
    ):
        client = DirectFanOut(service, snapshot, query_timeout, timeout)
        result = client.run(plan)
        results[client_name] = (
            result.p99_latency_ms(),
            _format_direct_result(result),
        )
    return results


def measure_weighs(folder: Path, name: str) -> list[Row]:
    """Measure slow searchers under both values of the setting `weighs`.

    All replicas of one part are 20 times slower.
    """
    service = SERVICE_BY_DEPLOYMENT[name]
    rows = []
    with deployment(name, folder, service_ms=5) as cluster:
        slow = _make_published_snapshot(cluster, service).parts[0].searchers
        _set_faults(cluster, list(slow), straggle=20)
        for preference in ('tail', 'coverage'):
            _publish(
                cluster,
                service,
                weighs=preference,
                tolerated_coverage=0.8,
                deadline_ms=DEADLINE_MS,
            )
            _load(cluster, service, QUERIES_PER_SECOND, WARM_UP_SECONDS)
            report = _load(cluster, service, QUERIES_PER_SECOND, LOAD_SECONDS)
            rows.append(Row(f'weighs {preference}', _format_report(report)))
    return rows


def measure_overload(folder: Path, name: str) -> list[Row]:
    """Measure goodput under overload and after it.

    The load goes from 0.7 to 3 times the capacity of the slots, then back to
    half of it. After that callers resend refused requests, with and without
    waiting for Retry-After, and a baseline client sends 3 times the capacity.
    """
    service = OVERLOADED_BY_DEPLOYMENT[name]
    shape = next(
        one for one in SHAPES_BY_DEPLOYMENT[name] if one.name == service
    )
    slots = shape.searchers * shape.slots
    capacity = slots * 1000 / OVERLOAD_SERVICE_MS
    rows = []
    with deployment(name, folder, service_ms=OVERLOAD_SERVICE_MS) as cluster:
        _publish(
            cluster,
            service,
            deadline_ms=OVERLOAD_DEADLINE_MS,
            classes={'desk': {'weight': 5}, 'batch': {'weight': 1}},
        )
        snapshot = _make_published_snapshot(cluster, service)
        for load_factor in LOAD_FACTORS:
            report = _load(
                cluster, service, capacity * load_factor, LOAD_SECONDS
            )
            rows.append(_overload_row(report, load_factor, capacity))
        for is_heeding in (True, False):
            report = _load(
                cluster,
                service,
                capacity * 1.5,
                LOAD_SECONDS,
                resends=4,
                heeds_retry_after=is_heeding,
            )
            handling = 'heeded' if is_heeding else 'ignored'
            rows.append(
                Row(
                    f'1.5 times, resends, Retry-After {handling}',
                    _format_overload(report),
                    f'{report.resent} resent',
                ),
            )
        plan = _plan(cluster, service, capacity * 3, LOAD_SECONDS)
        client = DirectFanOut(service, snapshot, OVERLOAD_DEADLINE_MS / 1000)
        result = client.run(plan)
        rows.append(
            Row(
                '3 times, random replica, resent on refusal',
                f'goodput {result.complete_queries / LOAD_SECONDS:.0f}/s,'
                f' extra {result.extra_load():.0%}',
                f'{result.complete_queries / LOAD_SECONDS / capacity:.2f}'
                ' of the slots',
            ),
        )
    return rows


def _overload_row(
    report: LoadReport, load_factor: float, capacity: float
) -> Row:
    return Row(
        f'{load_factor} times what {capacity:.0f}/s of slots carry',
        _format_overload(report),
        f'{report.goodput / capacity:.2f} of the slots',
    )


def _format_overload(report: LoadReport) -> str:
    offered = report.requests // 2
    by_class = {
        name: f'{count / offered:.0%}'
        for name, count in sorted(report.answered_by_class.items())
    }
    return (
        f'goodput {report.goodput:.0f}/s, p99 {report.answered.p99_ms:.0f},'
        f' refusals p50 {report.refused.p50_ms:.1f}'
        f' p99 {report.refused.p99_ms:.1f} ms,'
        f' extra {report.extra_load or 0:.1%}, answered {by_class},'
        f' {report.by_outcome}, {report.by_reason},'
        f' by second {report.answered_by_second}'
    )


def _format_report(report: LoadReport) -> str:
    latency = report.answered
    return (
        f'p50 {latency.p50_ms:.1f} p99 {latency.p99_ms:.1f} ms,'
        f' coverage {report.coverage:.3%}, extra {report.extra_load or 0:.1%}'
    )


def _format_direct_result(result: DirectResult) -> str:
    return (
        f'p99 {result.p99_latency_ms():.1f} ms,'
        f' coverage {result.coverage():.3%},'
        f' extra {result.extra_load():.1%}'
    )


def _plan(
    cluster: Deployment,
    service: str,
    rate: float,
    seconds: float,
    **options,
) -> LoadPlan:
    return LoadPlan(
        addresses=tuple(vm.caller for vm in cluster.vms),
        services=(service,),
        classes=('desk', 'batch'),
        rate=rate,
        seconds=seconds,
        seed=SEED,
        max_in_flight=1024,
        **options,
    )


def _load(cluster: Deployment, *load, **options) -> LoadReport:
    return LoadRun(_plan(cluster, *load, **options)).run()


def _publish(cluster: Deployment, service: str, **document) -> None:
    body = json.dumps({'service': service, **document}).encode()
    key = f'basilwall/documents/{service}'
    revision = cluster.publish(key, body)
    wait_until(
        lambda: all(
            vm.status()['values'][key]['revision'] >= revision
            for vm in cluster.vms
        ),
    )


def _set_faults(cluster: Deployment, addresses: list[str], **switches) -> None:
    for address in addresses:
        cluster.switch(address, **switches)


def _make_published_snapshot(cluster: Deployment, service: str) -> Snapshot:
    port = cluster.first_port
    for shape in SHAPES_BY_DEPLOYMENT[cluster.name]:
        if shape.name == service:
            return make_snapshot(shape, port, 's1')
        port += shape.instances * shape.searchers
    raise KeyError(service)
