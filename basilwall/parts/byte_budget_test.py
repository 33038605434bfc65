"""Tests of the limit on the bytes of all connections."""

from basilwall.parts.byte_budget import ByteBudget


def test_no_more_is_reserved_than_the_limit():
    budget = ByteBudget(100)
    assert budget.reserve(60)
    assert not budget.reserve(41)
    assert budget.reserve(40)
    budget.release(60)
    assert budget.used == 40
    assert budget.reserve(60)
