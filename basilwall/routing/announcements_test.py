"""What searchers said to other VMs, or meanwhile, decides over attempts."""

from types import SimpleNamespace

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.records.searcher import Searcher, SearcherProcess, process_of
from basilwall.routing.announcements import Announcements
from basilwall.routing.leaving_processes import (
    MAX_NOTICES,
    NOTICE_SECONDS,
    LeavingNotice,
    LeavingProcesses,
)

SEARCHER = Searcher('i-1', 's', '10.0.0.1:80', 'z', 1, False, 0, 7)


class RoutingState:
    """One listed searcher."""

    def __init__(self):
        self.left = []

    def all_searchers(self):
        return {SEARCHER.searcher_id: SEARCHER}

    def record_leaving(self, process, age=0):
        self.left.append((process, age))

    def is_usable(self, _):
        return not self.left


class Selector:
    """Records what it is told."""

    def __init__(self):
        self.recorded = []
        self.stats = SimpleNamespace(rest_seconds_left=0)

    def record_announcements(self, searcher, reply, sent_at):
        self.recorded.append((searcher, reply, sent_at))

    def stats_of(self, _):
        return self.stats


@pytest.fixture(name='parts')
def _parts():
    state, selector = RoutingState(), Selector()
    return state, selector, Announcements(state, selector)


def test_an_answer_of_the_listed_process_counts_like_an_own_one(parts):
    _, selector, announcements = parts
    reply = SimpleNamespace(is_leaving=True)
    announcements.record_relayed(process_of(SEARCHER), reply, 1.0)
    assert selector.recorded == [(SEARCHER, reply, 1.0)]


def test_an_answer_of_another_process_concerns_that_one_only(parts):
    state, selector, announcements = parts
    other = SearcherProcess('i-1', '10.0.0.1:80', 8)
    announcements.record_relayed(other, SimpleNamespace(is_leaving=True), 1.0)
    announcements.record_relayed(other, SimpleNamespace(is_leaving=False), 1.0)
    assert not selector.recorded
    assert state.left == [(other, 0)]


def test_an_attempt_that_waited_is_not_sent_to_a_searcher_that_rests(parts):
    _, selector, announcements = parts
    assert announcements.may_send(SEARCHER)
    selector.stats.rest_seconds_left = 0.5
    assert not announcements.may_send(SEARCHER)


@pytest.mark.parametrize(
    'age', [-1.0, float('nan'), float('inf'), NOTICE_SECONDS + 1]
)
def test_notices_with_an_odd_age_are_ignored_and_no_more_than_some_taken(
    parts, age
):
    state, _, announcements = parts
    process = process_of(SEARCHER)
    announcements.apply_leaving([LeavingNotice(process, age)])
    assert not state.left
    announcements.apply_leaving(
        [LeavingNotice(process, 1.0) for _ in range(2 * MAX_NOTICES)]
    )
    assert len(state.left) == MAX_NOTICES


def test_notices_are_bounded_and_end_as_long_after_the_reply_at_all_vms():
    clock = ManualClock()
    processes = LeavingProcesses(clock)
    for number in range(2 * MAX_NOTICES):
        processes.note_unreported(
            SearcherProcess(f'i-{number}', 'a:1', 1), age=NOTICE_SECONDS - 1
        )
    assert len(processes.notices()) == MAX_NOTICES
    clock.advance(2)
    assert not processes.notices()
