"""Tests of how the memory for messages is shared."""

from hypothesis import given
from hypothesis import strategies as st

from basilwall.parts.held_replies import HeldReplies
from basilwall.parts.memory_budget import (
    SMALL_BYTES,
    MemoryBudget,
    MemoryOwner,
    Urgency,
)

LIMIT = 1_000_000
LARGE = 200_000
SERVICES = [MemoryOwner(name) for name in 'abcd']


@given(
    st.lists(
        st.tuples(
            st.integers(0, 9), st.integers(0, LIMIT), st.sampled_from(SERVICES)
        )
    )
)
def test_no_more_is_held_than_the_limit_and_nothing_after_the_release(resizes):
    budget = MemoryBudget(LIMIT)
    accounts = {}
    for number, size, owner in resizes:
        account = accounts.setdefault(number, budget.account(owner))
        expected = account.held
        if account.resize(size):
            expected = size
        assert account.held == expected
        assert budget.used <= LIMIT
        assert budget.used == sum(one.held for one in accounts.values())
    for account in accounts.values():
        account.release()
    assert not budget.used


def test_one_service_leaves_room_for_large_replies_of_another():
    budget = MemoryBudget(LIMIT)
    grown = [budget.account(SERVICES[0]).resize(LARGE) for _ in range(9)]
    assert grown.count(True) == 2
    assert budget.account(SERVICES[1]).resize(LARGE)


def test_large_replies_of_all_services_leave_room_for_small_ones():
    budget = MemoryBudget(LIMIT)
    for owner in SERVICES:
        for _ in range(9):
            budget.account(owner).resize(LARGE)
    assert budget.account(SERVICES[0]).resize(SMALL_BYTES)


def test_the_most_urgent_reply_that_waits_gets_room_first():
    budget = MemoryBudget(LIMIT)
    first, second = (budget.account(SERVICES[0]) for _ in range(2))
    assert first.resize(LARGE)
    assert second.resize(LARGE)
    waiting = [
        budget.account(SERVICES[0], urgency)
        for urgency in (Urgency(1, 1), Urgency(0, 9), Urgency(0, 3))
    ]
    assert not any(account.resize_or_wait(LARGE) for account in waiting)
    first.release()
    granted = [account.resize_or_wait(LARGE) for account in waiting]
    assert granted == [False, False, True]
    second.release()
    assert [one.resize_or_wait(LARGE) for one in waiting[:2]] == [False, True]


def test_one_that_stops_waiting_keeps_no_other_from_its_room():
    budget = MemoryBudget(LIMIT)
    held = [budget.account(SERVICES[0]) for _ in range(2)]
    assert all(account.resize(LARGE) for account in held)
    urgent = budget.account(SERVICES[0])
    other = budget.account(SERVICES[0], Urgency(1))
    assert not urgent.resize_or_wait(LARGE)
    assert not other.resize_or_wait(LARGE)
    held[0].release()
    urgent.release()
    assert other.resize_or_wait(LARGE)
    assert not budget.is_awaited()


def test_a_reply_that_completes_after_its_request_is_not_held():
    budget = MemoryBudget(LIMIT)
    replies = HeldReplies()
    early, late = budget.account(), budget.account()
    early.resize(1000)
    replies.add(early)
    replies.keep_only(10)
    assert budget.used == 10
    replies.close()
    late.resize(1000)
    replies.add(late)
    assert not budget.used
