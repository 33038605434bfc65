"""A short soak with fixed seeds; `make soak` plays more of them, and longer.

A seed that ever failed stays here, with a line on the cause.
"""

import pytest

from soak.run import play

#: Shorter than by hand: CI shares few cores.
SECONDS = 6


@pytest.mark.parametrize(
    'seed',
    [
        # A stop took longer than its limit: the process waited for its watch
        # of the store, which the store held for up to 4 s.
        0,
        1,
        2,
    ],
)
def test_the_promises_hold(seed):
    report = play(seed, SECONDS)
    assert report.broken == []
    assert report.requests > 300
