"""Stragglers, frozen searchers and overload, against plain clients."""

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
RATE = 30
SECONDS = 4
SETTLE_SECONDS = 2
DEADLINE_MS = 1000
FROZEN = 1000
FIXED_TIMEOUT = 0.03
OVERLOAD_SERVICE_MS = 60
OVERLOAD_DEADLINE_MS = 300
LOADS = (0.7, 1, 1.5, 3, 0.5)


def stragglers(folder: Path, name: str) -> list[Row]:
    """5% of searchers 10 and 50 times slower; then one frozen in each."""
    service = SERVICE_BY_DEPLOYMENT[name]
    rows = []
    with deployment(name, folder, service_ms=5) as made:
        _switch(made, made.searchers(), spread_ms=2)
        snapshot = _snapshot(made, service)
        slow = [part.searchers[0] for part in snapshot.parts[::5]]
        frozen = [
            address for part in snapshot.parts for address in part.searchers[1:]
        ]
        bases: dict[str, float] = {}
        for case, addresses, straggle in (
            ('steady', [], 1),
            ('5% straggle 10 times', slow, 10),
            ('5% straggle 50 times', slow, 50),
            ('one frozen in each', frozen[::2], FROZEN),
            ('two of three frozen in each', frozen, FROZEN),
        ):
            _switch(made, addresses, straggle=straggle)
            for way, told in _ways(made, service, snapshot).items():
                p99, figure = told
                base = bases.setdefault(way, p99)
                rows.append(
                    Row(f'{case}, {way}', figure, f'p99 x {p99 / base:.2f}'),
                )
            _switch(made, addresses, straggle=1)
    return rows


def _ways(
    made: Deployment,
    service: str,
    snapshot: Snapshot,
) -> dict[str, tuple[float, str]]:
    told = {}
    for way, changed in (('tier', {}), ('tier, no extra', {'extra_load': 0})):
        _publish(made, service, deadline_ms=DEADLINE_MS, **changed)
        _load(made, service, RATE, SETTLE_SECONDS)
        report = _load(made, service, RATE, SECONDS)
        told[way] = (report.answered.p99_ms, _of_report(report))
    plan = _plan(made, service, RATE, SECONDS)
    seconds = DEADLINE_MS / 1000
    for way, timeout in (('random', None), ('timeout+retry', FIXED_TIMEOUT)):
        client = DirectFanOut(service, snapshot, seconds, timeout)
        result = client.run(plan)
        told[way] = (result.p99(), _of_direct(result))
    return told


def weighs(folder: Path, name: str) -> list[Row]:
    """The same stragglers under the two words of a document."""
    service = SERVICE_BY_DEPLOYMENT[name]
    rows = []
    with deployment(name, folder, service_ms=5) as made:
        slow = _snapshot(made, service).parts[0].searchers
        _switch(made, list(slow), straggle=20)
        for way in ('tail', 'coverage'):
            _publish(
                made,
                service,
                weighs=way,
                tolerated_coverage=0.8,
                deadline_ms=DEADLINE_MS,
            )
            _load(made, service, RATE, SETTLE_SECONDS)
            report = _load(made, service, RATE, SECONDS)
            rows.append(Row(f'weighs {way}', _of_report(report)))
    return rows


def overload(folder: Path, name: str) -> list[Row]:
    """From 0.7 to 3 times what the slots carry, then back to half."""
    service = OVERLOADED_BY_DEPLOYMENT[name]
    shape = next(
        one for one in SHAPES_BY_DEPLOYMENT[name] if one.name == service
    )
    slots = shape.searchers * shape.slots
    carried = slots * 1000 / OVERLOAD_SERVICE_MS
    rows = []
    with deployment(name, folder, service_ms=OVERLOAD_SERVICE_MS) as made:
        _publish(
            made,
            service,
            deadline_ms=OVERLOAD_DEADLINE_MS,
            classes={'desk': {'weight': 5}, 'batch': {'weight': 1}},
        )
        snapshot = _snapshot(made, service)
        for times in LOADS:
            report = _load(made, service, carried * times, SECONDS)
            rows.append(_overload_row(report, times, carried))
        for heeds in (True, False):
            report = _load(
                made,
                service,
                carried * 1.5,
                SECONDS,
                resends=4,
                heeds_retry_after=heeds,
            )
            told = 'heeded' if heeds else 'ignored'
            rows.append(
                Row(
                    f'1.5 times, resends, Retry-After {told}',
                    _of_overload(report),
                    f'{report.resent} resent',
                ),
            )
        plan = _plan(made, service, carried * 3, SECONDS)
        client = DirectFanOut(service, snapshot, OVERLOAD_DEADLINE_MS / 1000)
        result = client.run(plan)
        rows.append(
            Row(
                '3 times, random replica, resent on refusal',
                f'goodput {result.whole / SECONDS:.0f}/s,'
                f' extra {result.extra():.0%}',
                f'{result.whole / SECONDS / carried:.2f} of the slots',
            ),
        )
    return rows


def _overload_row(report: LoadReport, times: float, carried: float) -> Row:
    return Row(
        f'{times} times what {carried:.0f}/s of slots carry',
        _of_overload(report),
        f'{report.goodput / carried:.2f} of the slots',
    )


def _of_overload(report: LoadReport) -> str:
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


def _of_report(report: LoadReport) -> str:
    taken = report.answered
    return (
        f'p50 {taken.p50_ms:.1f} p99 {taken.p99_ms:.1f} ms,'
        f' coverage {report.coverage:.3%}, extra {report.extra_load or 0:.1%}'
    )


def _of_direct(result: DirectResult) -> str:
    return (
        f'p99 {result.p99():.1f} ms, coverage {result.coverage():.3%},'
        f' extra {result.extra():.1%}'
    )


def _plan(
    made: Deployment,
    service: str,
    rate: float,
    seconds: float,
    **changed,
) -> LoadPlan:
    return LoadPlan(
        addresses=tuple(vm.caller for vm in made.vms),
        services=(service,),
        classes=('desk', 'batch'),
        rate=rate,
        seconds=seconds,
        seed=SEED,
        max_in_flight=1024,
        **changed,
    )


def _load(made: Deployment, *given, **changed) -> LoadReport:
    return LoadRun(_plan(made, *given, **changed)).run()


def _publish(made: Deployment, service: str, **document) -> None:
    body = json.dumps({'service': service, **document}).encode()
    key = f'basilwall/documents/{service}'
    revision = made.publish(key, body)
    wait_until(
        lambda: all(
            vm.status()['values'][key]['revision'] >= revision
            for vm in made.vms
        ),
    )


def _switch(made: Deployment, addresses: list[str], **switches) -> None:
    for address in addresses:
        made.switch(address, **switches)


def _snapshot(made: Deployment, service: str) -> Snapshot:
    port = made.first_port
    for shape in SHAPES_BY_DEPLOYMENT[made.name]:
        if shape.name == service:
            return make_snapshot(shape, port, 's1')
        port += shape.instances * shape.searchers
    raise KeyError(service)
