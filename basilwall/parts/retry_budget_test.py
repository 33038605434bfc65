"""Extra attempts never exceed their share plus the bucket's capacity."""

from fractions import Fraction

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilwall.parts.retry_budget import RetryBudget


class BudgetMachine(RuleBasedStateMachine):
    """Any order of first and extra attempts, from many queries."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget(1 / 16, capacity=4)
        self.first = 0
        self.extra = 0
        self.tokens = Fraction(4)

    @rule(attempts=st.integers(1, 1400))
    def earn(self, attempts):
        self.first += attempts
        self.tokens = min(self.tokens + Fraction(attempts, 16), Fraction(4))
        self.budget.earn(attempts)

    @rule(wanted=st.integers(1, 20), keeps=st.booleans())
    def spend(self, wanted, keeps):
        for _ in range(wanted):
            allowed = self.tokens >= 1 + 2 * keeps
            assert self.budget.spend(keeps_reserve=keeps) == allowed
            if allowed:
                self.tokens -= 1
                self.extra += 1

    @invariant()
    def stays_within_the_share(self):
        assert self.extra <= self.first / 16 + 4


BudgetMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
)
TestBudget = BudgetMachine.TestCase
