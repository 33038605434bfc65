"""Tests of how far back strikes are known, and of what follows from it."""

import math

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.parts.quarantine import Quarantine, Suspicion
from basilwall.parts.strike_memory import COMPLETE_SECONDS, StrikeMemory
from basilwall.records.strike import Evidence, Strike


class Vm:
    """A quarantine that remembers nothing from before its start."""

    def __init__(self):
        self.clock = ManualClock()
        self.memory = StrikeMemory(self.clock)
        self.quarantine = Quarantine(self.clock, memory=self.memory)

    def lose(self, content='x', searcher='a', **fields):
        strike = Strike(
            f'{content}/{searcher}',
            searcher,
            **{'evidence': Evidence.DIED, 'is_unanswered': True, **fields},
        )
        self.quarantine.strike(content, [strike])

    def suspicion(self, content='x'):
        return self.quarantine.suspicion_of(content)


def test_one_crash_is_enough_while_former_ones_may_be_forgotten():
    vm = Vm()
    vm.lose()
    assert vm.suspicion() is Suspicion.PRESUMED
    assert vm.quarantine.seconds_refused('x') > 0
    vm.clock.advance(vm.quarantine.seconds_refused('x') + 1)
    assert vm.suspicion() is Suspicion.SUSPECT


def test_one_crash_is_not_enough_for_a_vm_that_knows_of_all_strikes():
    vm = Vm()
    vm.clock.advance(COMPLETE_SECONDS)
    vm.lose()
    assert vm.suspicion() is Suspicion.SUSPECT


def test_a_vm_that_joins_others_knows_what_they_know():
    vm = Vm()
    vm.lose()
    assert vm.memory.inherit(COMPLETE_SECONDS + 1)
    assert vm.suspicion() is Suspicion.SUSPECT
    assert not vm.memory.inherit(COMPLETE_SECONDS + 1)


@pytest.mark.parametrize('seconds', [math.nan, -1, 0, -math.inf])
def test_an_odd_memory_of_another_vm_is_not_inherited(seconds):
    vm = Vm()
    vm.clock.advance(1)
    assert not vm.memory.inherit(seconds)
    assert vm.memory.seconds == 1


def test_a_content_beside_which_another_one_was_lost_is_not_presumed():
    vm = Vm()
    vm.lose('x')
    vm.lose('y')
    assert vm.suspicion('x') is Suspicion.SUSPECT
    assert vm.suspicion('y') is Suspicion.SUSPECT


@pytest.mark.parametrize(
    'fields',
    [
        {'evidence': Evidence.SPARED},
        {'evidence': Evidence.LOST},
        {'evidence': Evidence.DOUBTED},
        {'is_unanswered': False},
    ],
)
def test_weaker_evidence_presumes_nothing(fields):
    vm = Vm()
    vm.lose(**fields)
    vm.lose(searcher='b', **{**fields, 'evidence': Evidence.SPARED})
    assert vm.suspicion() is Suspicion.SUSPECT


def test_a_presumed_content_that_is_answered_is_served_again():
    vm = Vm()
    vm.lose(service='s')
    vm.quarantine.record_answer('x', service='s')
    assert vm.suspicion() is Suspicion.NONE


def test_two_crashes_quarantine_a_presumed_content():
    vm = Vm()
    vm.lose(searcher='a')
    vm.lose(searcher='b')
    assert vm.suspicion() is Suspicion.QUARANTINED


def test_a_quarantine_without_a_memory_of_its_own_presumes_nothing():
    quarantine = Quarantine(ManualClock())
    strike = Strike('1', 'a', Evidence.DIED, is_unanswered=True)
    quarantine.strike('x', [strike])
    assert quarantine.suspicion_of('x') is Suspicion.SUSPECT
