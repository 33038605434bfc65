"""The simulation itself, and the loads that the policies answer."""

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


def play(kind=None, share=0.4, strength=0.6, seed=1, shape=TRANSANDINA):
    troubles = ()
    if kind is not None:
        troubles = (Fault(kind, 0, SECONDS, share, strength),)
    return simulate(Scenario(shape, SECONDS, 1, seed, troubles))


def test_events_come_in_order_of_their_moments():
    seen = []

    def note():
        seen.append(time.monotonic())

    with virtual_time() as time:
        for moment in (2, 1, 2):
            time.call_at(moment, note)
        time.run()
    assert seen == [1, 2, 2]


def test_a_task_waits_in_virtual_time():
    seen = []

    def work(task):
        time.call_later(5, task.resume)
        task.pause()
        seen.append(time.monotonic())

    with virtual_time() as time:
        time.start(work)
        time.run()
    assert seen == [5]


def test_what_a_task_fails_with_ends_the_run():
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
def test_work_stands_still_during_pauses(start, work, end):
    pauses = Pauses(0.2, 4.5, 0)
    assert pauses.completion_time(start, work) == pytest.approx(end)


def test_a_seed_plays_the_same_again():
    assert play(FaultKind.SLOW) == play(FaultKind.SLOW)
    assert play(seed=1) != play(seed=2)


@pytest.mark.parametrize('shape', MODELS_BY_NAME.values(), ids=MODELS_BY_NAME)
def test_every_request_of_a_calm_day_is_answered(shape):
    report = play(shape=shape)
    for one in report.by_kind.values():
        assert one.asked > 0
        assert one.in_time + one.late == one.asked


@pytest.mark.parametrize('kind', FaultKind)
def test_trouble_lowers_the_worth_and_no_request_is_forgotten(kind):
    strength = 6 if kind is FaultKind.SLOW else 1
    calm, struck = play(), play(kind, 1, strength)
    assert struck.worth < calm.worth
    for one in struck.by_kind.values():
        ended = one.in_time + one.late + one.refused + one.failed
        assert ended == one.asked


def test_extra_attempts_keep_to_the_budget_of_the_fleet():
    """All searchers lose a fifth of their replies, and nobody resends."""
    shape = dataclasses.replace(QASR_AL_JAMR, max_resends=0)
    report = play(FaultKind.SILENT, 1, 0.2, shape=shape)
    asked = sum(one.asked for one in report.by_kind.values())
    assert report.extra_load <= 0.2 + shape.extra_slack / asked


@pytest.mark.parametrize('kind', [FaultKind.FAIL, FaultKind.SHED])
def test_callers_get_more_if_failing_searchers_are_passed_over(
    kind,
    monkeypatch,
):
    weighed = play(kind, share=0.6, strength=0.8)
    monkeypatch.setattr(searcher_stats, 'FAILURE_COST', 0)
    ignored = play(kind, share=0.6, strength=0.8)
    assert weighed.worth > ignored.worth
    assert weighed.extra_load < ignored.extra_load


def test_an_attempt_is_not_late_while_its_connection_is_made():
    """All searchers are sound, and all connections of the VMs are new."""
    shape = dataclasses.replace(QASR_AL_JAMR_GROWN, pause_seconds=0)
    report = simulate(Scenario(shape, seconds=1))
    late = 1 - retry_policy.SHARD_HEDGE_QUANTILE
    assert report.extra_load <= late
