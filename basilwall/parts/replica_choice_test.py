"""Choice of a replica: slow ones are avoided, and tried again later."""

import random
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from basilwall.parts.clock import ManualClock
from basilwall.parts.replica_choice import LatencyEstimate, choose_replica

SETTINGS = settings(derandomize=True, max_examples=80, deadline=None)


class Replica:
    """A replica with a fixed latency or with an estimate."""

    def __init__(self, latency=0, in_flight=0, estimate=None):
        self.in_flight = in_flight
        self.latency = latency
        fixed_estimate = SimpleNamespace(
            seconds=latency, undecayed_seconds=latency
        )
        self.estimate = estimate or fixed_estimate


@SETTINGS
@given(
    st.lists(st.tuples(st.floats(0.001, 9), st.integers(0, 5)), max_size=8),
    st.integers(0, 99),
)
def test_no_replica_is_clearly_better_than_the_chosen_one(
    latencies_and_loads, seed
):
    replicas = [Replica(*candidate) for candidate in latencies_and_loads]
    chosen = choose_replica(replicas, random.Random(seed))
    assert (chosen is None) == (not replicas)
    for other in replicas:
        slower = chosen.latency > 2 * other.latency
        assert not slower or other.in_flight > chosen.in_flight
        much_busier = chosen.in_flight > other.in_flight
        assert not much_busier or other.latency > chosen.latency


def test_equal_replicas_are_chosen_equally_often():
    replicas = [Replica(latency) for latency in (0.005, 0.006, 0.009)]
    rng = random.Random(1)
    chosen = [choose_replica(replicas, rng) for _ in range(900)]
    assert all(250 < chosen.count(candidate) < 350 for candidate in replicas)


@SETTINGS
@given(st.lists(st.tuples(st.booleans(), st.floats(0.001, 2)), max_size=40))
def test_an_estimate_stays_within_the_observed_latencies(samples):
    estimate = LatencyEstimate(ManualClock())
    observed = [0.005]
    for answered, latency in samples:
        before = estimate.seconds
        (estimate.record_answer if answered else estimate.record_timeout)(
            latency
        )
        observed.append(latency)
        assert min(observed) - 1e-9 <= estimate.seconds <= max(observed) + 1e-9
        if not answered:
            assert estimate.seconds >= before


def _share_of_first(estimates, draws=400, is_extra=False):
    rng = random.Random(5)
    replicas = [Replica(estimate=estimate) for estimate in estimates]
    chosen = [choose_replica(replicas, rng, is_extra) for _ in range(draws)]
    return chosen.count(replicas[0]) / draws


def test_a_frozen_replica_is_avoided_until_its_estimate_has_decayed():
    clock = ManualClock()
    frozen, *others = (LatencyEstimate(clock) for _ in range(3))
    frozen.record_timeout(0.04)
    tried_again_after = 0
    for second in range(30):
        for other in others:
            other.record_answer(0.005)
        if second == 0:
            assert _share_of_first([frozen, *others]) == 0
        if _share_of_first([frozen, *others]) == 0:
            tried_again_after = second + 1
        clock.advance(1)
    assert 1 <= tried_again_after <= 10


def test_a_replica_that_never_answers_is_tried_less_and_less_often():
    clock = ManualClock()
    estimates = [LatencyEstimate(clock) for _ in range(2)]
    for failures, estimate in zip((1, 4), estimates, strict=True):
        for _ in range(failures):
            estimate.record_timeout(1)
    once, often = (estimate.seconds for estimate in estimates)
    clock.advance(12)
    assert estimates[0].seconds == once / 4
    assert estimates[1].seconds > often * 4 / 5


def test_an_extra_attempt_goes_to_the_only_live_replica():
    clock = ManualClock()
    live, *frozen = (LatencyEstimate(clock) for _ in range(3))
    for candidate in frozen:
        candidate.record_timeout(0.05)
    assert _share_of_first([live, *frozen]) == 1
    clock.advance(30)
    live.record_answer(0.005)
    assert _share_of_first([live, *frozen]) == 0
    assert _share_of_first([live, *frozen], is_extra=True) == 1


def test_a_cold_replica_gets_few_requests_until_it_is_warm():
    clock = ManualClock()
    estimates = [LatencyEstimate(clock) for _ in range(3)]
    estimates[0].start_cold()
    assert estimates[0].seconds > 4 * estimates[1].seconds
    assert _share_of_first(estimates) == 0
    clock.advance(11)
    assert estimates[0].seconds == estimates[1].seconds
