"""A short soak with fixed seeds; `make soak` plays more of them, and longer.

A seed that ever failed stays here, with a line on the cause.
"""

import pytest

from soak.run import run_seed

#: Shorter than by hand: CI shares few cores.
SHORT = 6
WHOLE = 10


@pytest.mark.parametrize(
    ('seed', 'seconds'),
    [
        # A stop took longer than its limit: the process waited for its watch
        # of the store, which the store held for up to 4 s.
        (0, SHORT),
        (1, SHORT),
        (2, SHORT),
        # The soak's own probe found no version of the table: a new one came
        # into force between two of its questions.
        (101, WHOLE),
        (105, WHOLE),
        (108, WHOLE),
    ],
)
def test_the_promises_hold(seed, seconds):
    report = run_seed(seed, seconds)
    assert report.violations == []
    assert report.requests > 300
