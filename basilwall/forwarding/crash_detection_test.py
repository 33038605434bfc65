"""Tests of the evidence that lost searchers give against requests."""

import random
from dataclasses import replace
from functools import partial
from types import SimpleNamespace

import pytest

from basilwall.backend.loss_classifier import (
    SIMULTANEOUS_SECONDS,
    LossClassifier,
    LostSearcher,
)
from basilwall.forwarding.crash_detection import (
    ProbingCrashDetector,
    fingerprint_of,
)
from basilwall.parts.clock import ManualClock
from basilwall.parts.quarantine import Quarantine, Suspicion
from basilwall.parts.strike_memory import StrikeMemory
from basilwall.records.forwarding import Call, LossReason, Lost, Reply
from basilwall.records.searcher import Searcher
from basilwall.records.strike import Evidence, Strike

OTHERS = [f'other-{number}:1' for number in range(4)]
MOMENT_SECONDS = 1.0
RESTART_SECONDS = 2.0
ROUND_TRIP_SECONDS = 0.04


def searcher(name='s-1', service='s', started_ms=1, address='s:1'):
    return Searcher(name, service, address, 'z', 2, False, 0, started_ms)


def call(target=b'/a/'):
    return Call(b'GET', target, 'h', b'1', b'', b'', 0, 1)


class InlineTasks:
    """Runs each task at once; calls the next of `on_wait` in each wait.

    A task that waits takes no time of those that it runs beside.
    """

    def __init__(self):
        self.on_wait = []
        self.stopping = SimpleNamespace(wait=self.wait)

    def start(self, task):
        task()

    def wait(self, _):
        if self.on_wait:
            self.on_wait.pop(0)()


class Vm:
    """A VM to which the searchers in `dead` refuse connections."""

    def __init__(self, others=OTHERS):
        self.clock = ManualClock()
        self.quarantine = Quarantine(self.clock, moment_seconds=MOMENT_SECONDS)
        self.tasks = InlineTasks()
        self.dead = set()
        self.addresses = set(others)
        self.classifier = LossClassifier(
            lambda _: self.addresses,
            self.clock,
            random.Random(1),
            lambda addresses, _: set(addresses) & self.dead,
        )
        self.detector = ProbingCrashDetector(
            self.quarantine,
            self.classifier,
            self.tasks,
            'vm',
            self.clock,
            lambda _: ROUND_TRIP_SECONDS,
            int,
        )

    def lose(
        self,
        *requests,
        run_seconds=0.1,
        down_seconds=RESTART_SECONDS,
        is_trial=False,
    ):
        """Lose requests and their searchers at the same time.

        The requests run for `run_seconds`; the searchers then refuse
        connections for `down_seconds`.
        """
        sent_at = self.clock.monotonic()
        self.clock.advance(run_seconds)
        lost = {one.address for _, one in requests}
        self.addresses |= lost
        self.dead |= lost
        for sent, one in requests:
            attempt = SimpleNamespace(searcher=one, sent_at=sent_at)
            outcome = Lost(one.searcher_id, LossReason.CUT)
            self.detector.note_outcome(
                sent, attempt, outcome, is_trial=is_trial
            )
        self.clock.advance(down_seconds)
        self.dead -= lost

    def probe(self):
        """Look which searchers are dead, as losses of other contents do."""
        lost = LostSearcher('s', 's:1', self.clock.monotonic())
        self.classifier.find_simultaneous(lost, ())

    def answer(self, sent, one):
        reply = Reply(one.searcher_id, 200, b'', (), b'', b'signed', True)
        attempt = SimpleNamespace(searcher=one, sent_at=self.clock.monotonic())
        self.detector.note_outcome(sent, attempt, reply)

    def is_refused(self):
        return self.detector.refusal_of(call()) is not None

    def is_quarantined(self):
        (entry,) = self.quarantine.entries()
        suspicion = self.quarantine.suspicion_of(entry.fingerprint)
        return suspicion is Suspicion.QUARANTINED


@pytest.mark.parametrize(('links_work', 'strikes'), [(True, 1), (False, 0)])
def test_a_vm_without_links_blames_no_request(links_work, strikes):
    vm = Vm()
    vm.dead |= set() if links_work else set(OTHERS)
    vm.lose((call(), searcher()))
    # A cut that lasts is no newer sign of an outage than at first.
    vm.clock.advance(60)
    vm.lose((call(), searcher()))
    assert len(vm.quarantine.entries()) == strikes


def test_a_service_of_one_searcher_loses_it_to_a_content_twice():
    vm = Vm()
    vm.lose((call(), searcher('s-1')))
    assert not vm.is_quarantined()
    vm.lose((call(), searcher('s-2')))
    assert vm.is_quarantined()


@pytest.mark.parametrize('others', [[], ['only-other:1']])
def test_a_content_is_quarantined_where_few_searchers_tell_of_outages(others):
    vm = Vm(others)
    vm.lose((call(), searcher('s-1')))
    vm.lose((call(), searcher('s-2')))
    assert vm.is_quarantined()


def test_a_retry_that_ends_another_searcher_is_a_crash_of_its_own():
    vm = Vm()
    vm.lose((call(), searcher('s-1')), down_seconds=0)
    vm.lose((call(), searcher('s-2', address='s-2:1')))
    assert vm.is_quarantined()


def test_a_content_that_ends_searchers_at_once_has_run_on_the_second_one():
    vm = Vm()
    vm.lose((call(), searcher('s-1')), run_seconds=0.041, down_seconds=0)
    # The round trip varies, so this looks like 1 ms before it arrived.
    retried = (call(), searcher('s-2', address='s-2:1'))
    vm.lose(retried, run_seconds=0.039)
    assert vm.is_quarantined()


@pytest.mark.parametrize(
    'run_seconds', [ROUND_TRIP_SECONDS / 2, ROUND_TRIP_SECONDS + 0.01]
)
def test_a_retry_to_a_searcher_that_an_outage_ends_is_no_crash_of_its_own(
    run_seconds,
):
    vm = Vm()
    vm.lose((call(), searcher('s-1')), run_seconds=0.1, down_seconds=0)
    retried = (call(), searcher('s-2', address='s-2:1'))
    vm.lose(retried, run_seconds=run_seconds)
    assert not vm.is_quarantined()


def test_a_searcher_that_starts_again_under_its_id_crashes_again():
    vm = Vm()
    vm.lose((call(), searcher(started_ms=1)))
    vm.lose((call(), searcher(started_ms=2)))
    assert vm.is_quarantined()


def test_two_requests_of_a_content_lost_with_one_searcher_are_one_crash():
    vm = Vm()
    vm.lose((call(), searcher()), (call(), searcher()))
    assert not vm.is_quarantined()


def shards():
    return [
        searcher(f's-{number}', f'shard-{number}', address=f's-{number}:1')
        for number in range(6)
    ]


def test_an_outage_of_many_shards_quarantines_no_content():
    vm = Vm()
    vm.lose(*((call(), shard) for shard in shards()))
    assert not vm.is_quarantined()


def test_a_content_that_crashes_many_shards_twice_is_quarantined():
    vm = Vm()
    vm.lose(*((call(), shard) for shard in shards()))
    vm.lose(*((call(), shard) for shard in shards()))
    assert vm.is_quarantined()


def test_crashes_at_several_services_add_up():
    vm = Vm()
    vm.lose((call(), searcher('a-1', 'a', address='a:1')))
    vm.lose((call(), searcher('b-1', 'b', address='b:1')))
    assert vm.is_quarantined()


def test_a_content_that_was_answered_is_not_blamed_for_earlier_crashes():
    vm = Vm()
    for number in range(6):
        vm.lose((call(), searcher(f's-{number}')))
        vm.answer(call(), searcher('s-other', address='elsewhere:1'))
    assert not vm.is_quarantined()


def test_contents_lost_beside_a_crashing_one_are_not_blamed():
    vm = Vm()
    for number in range(6):
        beside = call(b'/beside/%d' % (number // 2))
        lost = searcher(f's-{number}')
        vm.lose((call(), lost), (beside, lost))
    suspicions = [
        vm.quarantine.suspicion_of(entry.fingerprint)
        for entry in vm.quarantine.entries()
    ]
    assert suspicions.count(Suspicion.QUARANTINED) == 1


def test_a_suspected_content_does_not_go_to_the_same_shard_again():
    vm = Vm()
    services = [f'shard-{number}' for number in range(4)]
    for service in services[:3]:
        vm.lose((call(), searcher(service, service, address=f'{service}:1')))
    assert vm.detector.least_struck(call(), services) == 3


def test_repeats_of_a_content_begin_at_one_shard_and_contents_at_all():
    vm = Vm()
    services = [f'shard-{number}' for number in range(4)]

    def chosen(calls):
        return {vm.detector.least_struck(one, services) for one in calls}

    repeats = [replace(call(), request_id=b'%d' % one) for one in range(40)]
    assert len(chosen(repeats)) == 1
    contents = [call(b'/%d' % one) for one in range(40)]
    assert chosen(contents) == set(range(4))


def two_shards():
    return [(call(), shard) for shard in shards()[:2]]


def test_a_content_that_ends_both_searchers_it_is_tried_at_is_quarantined():
    vm = Vm()
    vm.lose(*two_shards(), is_trial=True)
    assert vm.is_quarantined()


def test_a_trial_that_an_outage_ends_quarantines_no_content():
    vm = Vm()
    vm.dead |= set(OTHERS[:3])
    vm.lose(*two_shards(), is_trial=True)
    assert not vm.is_refused()


@pytest.mark.parametrize('has_ended', [True, False])
def test_a_content_waits_until_it_is_known_why_its_searcher_was_lost(has_ended):
    vm = Vm()
    probes, told = [], []
    vm.tasks.start = probes.append
    vm.detector.on_change = lambda: told.append(vm.is_refused())
    lost = searcher()
    vm.lose((call(), lost), is_trial=True, down_seconds=0)
    assert vm.is_refused()
    assert told == [True]
    assert not vm.detector.is_quarantined(call())
    vm.dead |= {lost.address} if has_ended else set()
    probes.pop()()
    assert not vm.is_refused()
    assert vm.detector.is_suspected(call()) is has_ended


def test_a_content_that_others_answered_does_not_wait():
    vm = Vm()
    vm.tasks.start = [].append
    vm.lose((call(), searcher()))
    assert not vm.is_refused()


@pytest.mark.parametrize(
    ('ended', 'is_quarantined'),
    [(OTHERS, False), (OTHERS[:2], False), (OTHERS[:1], True), ([], True)],
)
def test_outages_that_go_on_after_the_first_loss_quarantine_nothing(
    ended, is_quarantined
):
    vm = Vm()
    for process in range(2):
        vm.tasks.on_wait.append(partial(vm.dead.update, ended))
        vm.lose((call(), searcher(f's-{process}')))
        vm.dead.clear()
        # They answer probes again before the next outage.
        vm.probe()
    assert vm.is_quarantined() is is_quarantined


def test_an_outage_that_is_looked_into_late_quarantines_nothing():
    vm = Vm()

    def lose_others():
        vm.dead.update(OTHERS)
        vm.probe()
        vm.clock.advance(2 * SIMULTANEOUS_SECONDS)

    for process in range(2):
        vm.tasks.on_wait.append(lose_others)
        vm.lose((call(), searcher(f's-{process}')))
        vm.dead.clear()
        vm.probe()
    assert not vm.is_quarantined()


@pytest.mark.parametrize(
    ('seconds_ago', 'is_quarantined'), [(0.2, True), (0.12, False)]
)
def test_a_content_that_crashed_a_searcher_of_another_vm_crashes_one_more(
    seconds_ago, is_quarantined
):
    vm = Vm()
    told = Strike('peer/1', 'elsewhere:1', Evidence.DIED, seconds_ago - 0.1)
    vm.quarantine.strike(fingerprint_of(call()), [told])
    vm.lose((call(), searcher()), run_seconds=0.1)
    assert vm.is_quarantined() is is_quarantined


def test_a_loss_to_the_same_content_elsewhere_is_no_outage():
    vm = Vm()
    vm.lose((call(), searcher('s-1')))
    told = [
        Strike(f'peer/{number}', address, Evidence.DIED)
        for number, address in enumerate(OTHERS)
    ]

    vm.tasks.on_wait = [
        lambda: vm.dead.update(OTHERS),
        lambda: vm.quarantine.strike(fingerprint_of(call()), told),
    ]
    vm.lose((call(), searcher('s-2')))
    (entry,) = vm.quarantine.entries()
    assert len(entry.struck_searchers()) == 1 + len(OTHERS)
    assert all(dated.is_uncleared for dated in entry.all_strikes())


@pytest.mark.parametrize(
    'is_explained_late',
    [
        False,
        pytest.param(
            True,
            marks=pytest.mark.xfail(
                strict=True, reason='entry 19 of KNOWN-RED.txt'
            ),
        ),
    ],
)
def test_a_loss_under_a_content_that_another_answered_presumes_nothing(
    is_explained_late,
):
    vm = Vm()
    vm.quarantine.memory = StrikeMemory(vm.clock)
    explanations = []
    vm.tasks.start = explanations.append
    lost = SimpleNamespace(searcher=searcher(), sent_at=vm.clock.monotonic())
    vm.clock.advance(0.1)
    vm.dead.add('s:1')
    vm.detector.note_outcome(
        call(), lost, Lost('s-1', LossReason.CUT), is_unanswered=True
    )
    (explain,) = explanations
    if not is_explained_late:
        explain()
        assert vm.is_refused()
    vm.answer(call(), searcher('s-2', address='t:1'))
    if is_explained_late:
        explain()
    assert not vm.is_refused()
