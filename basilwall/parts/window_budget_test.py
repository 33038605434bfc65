"""The window budget, compared with a list of all attempts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from basilwall.parts.clock import ManualClock
from basilwall.parts.window_budget import STEP, WindowBudget

FRACTION = 0.25
SLACK = 3
WINDOW = 10


class WindowMachine(RuleBasedStateMachine):
    """Any order of first and extra attempts, over any time."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.budget = WindowBudget(FRACTION, SLACK, WINDOW, self.clock)
        self.first_at = []
        self.extra_at = []

    @rule(count=st.integers(1, 20))
    def first(self, count):
        self.budget.earn(count)
        self.first_at.extend([self.clock.monotonic() for _ in range(count)])

    @rule(reserve=st.sampled_from([0, 0.2]))
    def extra(self, reserve):
        now = self.clock.monotonic()
        sent = self.budget.spend(reserve)
        if sent:
            self.extra_at.append(now)
        extra = len([one for one in self.extra_at if one > now - WINDOW])
        # A step is forgotten as a whole, up to its length later.
        began = now - WINDOW - STEP
        first = len([one for one in self.first_at if one >= began])
        # The first attempts that paid for them may have left the window since.
        paying = [one for one in self.first_at if one >= began - WINDOW]
        assert extra <= FRACTION * len(paying) + SLACK
        if sent:
            assert extra <= FRACTION * first + SLACK
        elif not reserve:
            least = len([one for one in self.first_at if one > now - WINDOW])
            most = len([one for one in self.extra_at if one >= began])
            assert most + 1 > FRACTION * least + SLACK

    @rule(seconds=st.floats(0, 12))
    def wait(self, seconds):
        self.clock.advance(seconds)


WindowMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=100,
    deadline=None,
)
TestWindow = WindowMachine.TestCase


def test_an_extra_attempt_is_refused_after_its_first_attempts_are_forgotten():
    clock = ManualClock()
    budget = WindowBudget(FRACTION, SLACK, WINDOW, clock)
    budget.earn(4)
    clock.advance(8)
    assert sum(budget.spend() for _ in range(5)) == 4
    clock.advance(3)
    assert not budget.spend()


def test_the_slack_comes_back_as_the_window_moves_on():
    clock = ManualClock()
    budget = WindowBudget(0, 2, WINDOW, clock)
    sent = 0
    for _ in range(100):
        sent += budget.spend()
        clock.advance(1)
    assert 16 <= sent <= 20
