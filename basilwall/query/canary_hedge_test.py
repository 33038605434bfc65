"""Canary requests while most replicas are frozen, slow or shedding."""

import pytest

from basilwall.backend.trusting_crash_tracker_test import TrustingCrashTracker
from basilwall.document.model import Document
from basilwall.parts.quarantine import Suspicion
from basilwall.parts.retry_budget import DEFAULT_CAPACITY
from basilwall.query.fakes_test import SERVICE, Searcher, World, make_snapshot
from basilwall.records.answer import QueryAnswer

ADDRESSES = [f's{number}:1' for number in range(6)]
FROZEN = ADDRESSES[:4]
#: Answers within this time came before any hedge.
BEFORE_HEDGE_SECONDS = 0.02
QUERIES = 30
DOCUMENT = Document(
    service=SERVICE,
    weighs='coverage',
    deadline_ms=1000,
    extra_load=0.5,
)


class UntestedContents(TrustingCrashTracker):
    """Has seen no content answered and suspects none."""

    def is_known_good(self, content, snapshot):
        return False

    def wait_for_suspicion(self, content, deadline):
        return Suspicion.NONE


@pytest.fixture
def world():
    fake_world = World({address: Searcher(['s1']) for address in ADDRESSES})
    fake_world.runner._crash_tracker = UntestedContents()
    fake_world.publish(make_snapshot('s1', 2, ADDRESSES))
    for address in FROZEN:
        fake_world.by_address[address].mode = 'silent'
    return fake_world


@pytest.mark.parametrize('token', 'abcdefgh')
def test_canary_hedges_past_frozen_searchers(world, token):
    answer = world.ask(token, DOCUMENT, 2)
    assert answer.coverage.is_complete


@pytest.mark.parametrize('token', 'abcdefgh')
def test_slow_searchers_are_not_chosen_as_canary(world, token):
    for address in FROZEN:
        for _ in range(9):
            world.pools.by_address[address].estimate.record_timeout(1)
    asked_at = world.clock.monotonic()
    assert world.ask(token, DOCUMENT, 2).coverage.is_complete
    assert world.clock.monotonic() - asked_at < BEFORE_HEDGE_SECONDS


def test_canary_retries_after_shedding_within_retry_budget(world):
    for searcher in world.by_address.values():
        searcher.mode = 'shed'
    document = DOCUMENT.model_copy(update={'extra_load': 0})
    for number in range(QUERIES):
        assert not isinstance(world.ask(str(number), document, 2), QueryAnswer)
    assert len(world.attempt_ids) <= QUERIES + DEFAULT_CAPACITY
