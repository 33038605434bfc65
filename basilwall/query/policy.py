"""Policy of one service: its document, retry budget and hedge delay."""

from dataclasses import dataclass

from basilwall.document.model import Document
from basilwall.parts.hedge import HedgeDelay
from basilwall.parts.retry_budget import RetryBudget

#: Hedge delay before any latency is known, as a share of the deadline.
INITIAL_HEDGE_SHARE = 0.3
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """One document with the retry budget and hedge delay that it configures."""

    document: Document
    budget: RetryBudget
    hedge: HedgeDelay


def make_policy(document: Document) -> ServicePolicy:
    """Return a new policy for a document that has come into force."""
    deadline = document.deadline_ms / MS_PER_SECOND
    return ServicePolicy(
        document,
        RetryBudget(document.extra_load),
        HedgeDelay(document.hedge_quantile, deadline * INITIAL_HEDGE_SHARE),
    )


class Policies:
    """Policies by service, replaced when their document changes."""

    def __init__(self) -> None:
        self._by_service: dict[str, ServicePolicy] = {}

    def for_document(self, document: Document) -> ServicePolicy:
        """Return the policy for the document in force of a service."""
        policy = self._by_service.get(document.service)
        if policy is None or policy.document != document:
            policy = make_policy(document)
            self._by_service[document.service] = policy
        return policy
