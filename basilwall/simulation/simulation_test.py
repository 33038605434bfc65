"""Tests of the simulation, and of the policies under simulated faults."""

import dataclasses

import pytest

from basilwall.forwarding import retry_policy
from basilwall.routing import searcher_stats
from basilwall.simulation.callers import simulate
from basilwall.simulation.scenarios import (
    MODELS_BY_NAME,
    QASR_AL_JAMR,
    QASR_AL_JAMR_GROWN,
    TRANSANDINA,
    Fault,
    FaultKind,
    Scenario,
)
from basilwall.simulation.searchers import Pauses
from basilwall.simulation.virtual_time import virtual_time

SECONDS = 3


def run_scenario(kind=None, share=0.4, strength=0.6, seed=1, model=TRANSANDINA):
    faults = ()
    if kind is not None:
        faults = (Fault(kind, 0, SECONDS, share, strength),)
    return simulate(Scenario(model, SECONDS, 1, seed, faults))


def test_events_are_processed_in_order_of_time():
    times = []

    def record_time():
        times.append(time.monotonic())

    with virtual_time() as time:
        for moment in (2, 1, 2):
            time.call_at(moment, record_time)
        time.run()
    assert times == [1, 2, 2]


def test_task_pauses_in_virtual_time():
    times = []

    def work(task):
        time.call_later(5, task.resume)
        task.pause()
        times.append(time.monotonic())

    with virtual_time() as time:
        time.start(work)
        time.run()
    assert times == [5]


def test_exception_in_task_ends_the_run():
    def work(_):
        raise ValueError('broken')

    with virtual_time() as time:
        time.start(work)
        with pytest.raises(ValueError, match='broken'):
            time.run()


@pytest.mark.parametrize(
    ('start', 'work', 'end'),
    [(1, 1, 2), (0, 1, 1.2), (4, 1, 5.2), (4.6, 5, 9.9), (0.1, 0, 0.2)],
)
def test_pauses_delay_the_completion_of_work(start, work, end):
    pauses = Pauses(0.2, 4.5, 0)
    assert pauses.completion_time(start, work) == pytest.approx(end)


def test_same_seed_gives_same_report():
    assert run_scenario(FaultKind.SLOW) == run_scenario(FaultKind.SLOW)
    assert run_scenario(seed=1) != run_scenario(seed=2)


@pytest.mark.parametrize('model', MODELS_BY_NAME.values(), ids=MODELS_BY_NAME)
def test_every_request_is_answered_without_faults(model):
    report = run_scenario(model=model)
    for kind_report in report.by_kind.values():
        assert kind_report.asked > 0
        assert kind_report.in_time + kind_report.late == kind_report.asked


@pytest.mark.parametrize('kind', FaultKind)
def test_fault_lowers_worth_and_every_request_ends(kind):
    strength = 6 if kind is FaultKind.SLOW else 1
    without_fault, with_fault = run_scenario(), run_scenario(kind, 1, strength)
    assert with_fault.worth < without_fault.worth
    for kind_report in with_fault.by_kind.values():
        ended = (
            kind_report.in_time
            + kind_report.late
            + kind_report.refused
            + kind_report.failed
        )
        assert ended == kind_report.asked


def test_extra_attempts_stay_within_the_budget_of_the_fleet():
    """All searchers drop a fifth of their requests; callers don't resend."""
    model = dataclasses.replace(QASR_AL_JAMR, max_resends=0)
    report = run_scenario(FaultKind.SILENT, 1, 0.2, model=model)
    asked = sum(kind_report.asked for kind_report in report.by_kind.values())
    assert report.extra_load <= 0.2 + model.extra_slack / asked


@pytest.mark.parametrize('kind', [FaultKind.FAIL, FaultKind.SHED])
def test_avoiding_failing_searchers_earns_more_worth(
    kind,
    monkeypatch,
):
    weighed = run_scenario(kind, share=0.6, strength=0.8)
    monkeypatch.setattr(searcher_stats, 'FAILURE_COST', 0)
    ignored = run_scenario(kind, share=0.6, strength=0.8)
    assert weighed.worth > ignored.worth
    assert weighed.extra_load < ignored.extra_load


def test_connecting_does_not_trigger_hedges():
    """Guards against hedges of attempts that only wait for their connection.

    Nothing is faulty, and all VMs start without connections.
    """
    model = dataclasses.replace(QASR_AL_JAMR_GROWN, pause_seconds=0)
    report = simulate(Scenario(model, seconds=1))
    late = 1 - retry_policy.SHARD_HEDGE_QUANTILE
    assert report.extra_load <= late
