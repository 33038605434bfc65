"""Model-based test of admission, and tests of the retry-after times."""

import random
from contextlib import ExitStack

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilwall.caller.admission import Admission, NotAdmittedError
from basilwall.document.model import ClassPolicy, Document
from basilwall.parts.clock import ManualClock
from basilwall.parts.retry_after import RetryAfter
from basilwall.records.answer import RefusalReason

DOCUMENTS = [
    Document(
        service=service,
        classes={
            'desk': ClassPolicy(weight=5),
            'batch': ClassPolicy(weight=1, max_in_flight=3),
        },
    )
    for service in ('a', 'b')
]
MAX_IN_FLIGHT = 12


class AdmissionMachine(RuleBasedStateMachine):
    """Requests of two services start and end; some meet congestion."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.admission = Admission(MAX_IN_FLIGHT, self.clock, random.Random(1))
        self.held = []

    @rule(
        document=st.sampled_from(DOCUMENTS),
        name=st.sampled_from(['desk', 'batch']),
    )
    def enter(self, document, name):
        stack = ExitStack()
        limit_before = self.admission.limits().get(document.service, 8)
        of_class = self.count(document.service, name)
        of_service = self.count(document.service)
        try:
            admitted = stack.enter_context(
                self.admission.admit(document, name, time_left=1),
            )
        except NotAdmittedError as refused:
            assert refused.reason is RefusalReason.OVERLOADED
            assert refused.retry_after_ms > 0
            assert of_service >= 1
            return
        assert of_service + 1 <= limit_before
        assert of_class + 1 <= document.classes[name].max_in_flight
        self.held.append((document.service, name, stack, admitted))

    @rule(is_congested=st.booleans(), seconds=st.sampled_from([0, 0.05, 0.3]))
    def leave(self, is_congested, seconds):
        self.clock.advance(seconds)
        if self.held:
            *_, stack, admitted = self.held.pop(0)
            admitted.is_congested = is_congested
            stack.close()

    @invariant()
    def counts_agree(self):
        assert self.admission.in_flight == len(self.held)
        assert len(self.held) <= MAX_IN_FLIGHT
        assert self.admission.wait_idle(0) == (not self.held)

    def count(self, *key):
        return sum(request[: len(key)] == key for request in self.held)


AdmissionMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
)
TestAdmission = AdmissionMachine.TestCase


def test_a_request_with_too_little_time_is_refused():
    clock = ManualClock()
    admission = Admission(MAX_IN_FLIGHT, clock)
    for _ in range(200):
        with admission.admit(DOCUMENTS[0], 'desk', time_left=1):
            clock.advance(0.2)
    with (
        pytest.raises(NotAdmittedError) as refused,
        admission.admit(DOCUMENTS[0], 'desk', time_left=0.05),
    ):
        raise AssertionError
    assert refused.value.reason is RefusalReason.TOO_LATE
    with admission.admit(DOCUMENTS[1], 'desk', time_left=0.05):
        assert admission.in_flight == 1


@pytest.mark.parametrize('overload', [1, 3, 8])
def test_retry_after_times_follow_the_load_and_are_jittered(overload):
    clock = ManualClock()
    retry_after = RetryAfter(clock, random.Random(2))
    waits = []
    for _ in range(100):
        retry_after.record_admitted()
        waits.extend(retry_after.record_refused() for _ in range(overload))
        clock.advance(0.01)
    newest = waits[-50 * overload :]
    mean_wait = sum(newest) / len(newest)
    assert mean_wait == pytest.approx(0.1 + overload, rel=0.25)
    assert max(newest) > 1.8 * min(newest)
    clock.advance(5)
    assert retry_after.record_refused() < 2


def test_a_request_that_a_planned_stop_would_cut_off_is_refused():
    clock = ManualClock()
    admission = Admission(MAX_IN_FLIGHT, clock, random.Random(1))
    admission.ends_at = clock.monotonic() + 2
    with admission.admit(DOCUMENTS[0], 'desk', time_left=1):
        clock.advance(1.5)
    with pytest.raises(NotAdmittedError) as refused:
        stack = ExitStack()
        stack.enter_context(admission.admit(DOCUMENTS[0], 'desk', time_left=1))
    assert refused.value.retry_after_ms > 0
    assert not admission.in_flight
