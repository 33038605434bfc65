"""Tests of the evidence that lost searchers give against requests."""

import pytest

from basilwall.forwarding.crash_detection import ProbingCrashDetector
from basilwall.parts.clock import ManualClock
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.tasks import task_group
from basilwall.records.forwarding import Call, LossReason, Lost
from basilwall.records.searcher import Searcher
from basilwall.records.strike import Evidence

SEARCHER = Searcher('s-1', 's', 's-1:1', 'z', 2, False, 0, 1)
CALL = Call(b'GET', b'/a/', 'h', b'1', b'', b'', 0, 1)


class DeadSearchers:
    """A classifier to which every lost searcher seems to have died."""

    def classify(self, *_):
        return Evidence.DIED


@pytest.mark.parametrize(('links_work', 'strikes'), [(True, 1), (False, 0)])
def test_a_vm_without_links_blames_no_request(links_work, strikes):
    quarantine = Quarantine(ManualClock())
    with task_group('test') as tasks:
        detector = ProbingCrashDetector(
            quarantine, DeadSearchers(), tasks, 'vm', lambda: links_work
        )
        detector.note_outcome(CALL, SEARCHER, Lost('s-1', LossReason.CUT))
    assert len(quarantine.entries()) == strikes
