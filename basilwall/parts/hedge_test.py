"""The hedge delay, compared with a sorted list of the newest latencies."""

from hypothesis import given, settings
from hypothesis import strategies as st

from basilwall.parts.hedge import HedgeDelay

CEILING = 0.3


@settings(derandomize=True, max_examples=50, deadline=None)
@given(
    st.sampled_from([0.5, 0.95, 0.99]),
    st.lists(st.floats(0, 2), min_size=10, max_size=40),
    st.integers(1, 60),
)
def test_the_delay_is_a_quantile_below_the_ceiling(
    quantile, latencies, repetitions
):
    hedge = HedgeDelay(quantile, CEILING)
    assert hedge.delay == CEILING
    samples = []
    for count, latency in enumerate(latencies * repetitions, 1):
        hedge.observe(latency)
        samples.append(latency)
        if count % 100 == 50:
            window = sorted(samples[-1000:])
            expected = window[int(len(window) * quantile)]
            assert hedge.delay == min(expected, CEILING)


def test_many_frozen_replicas_do_not_end_hedging():
    hedge = HedgeDelay(0.95, CEILING)
    for _ in range(1000):
        hedge.observe(1)
    assert hedge.delay == CEILING
