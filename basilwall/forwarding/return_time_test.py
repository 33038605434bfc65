"""Tests of how long this VM is expected to take to return an answer."""

from basilwall.forwarding.return_time import INITIAL_SECONDS, ReturnTime


def test_a_vm_that_returns_answers_slowly_allows_for_most_of_them():
    return_time = ReturnTime()
    assert return_time.expected == INITIAL_SECONDS
    late = 0
    for _ in range(20):
        for seconds in (0.012, 0.02, 0.014, 0.016):
            late += seconds > return_time.expected
            return_time.observe(seconds)
    assert late <= 80 / 10
    assert return_time.expected < 2 * 0.02
