"""Withdraws strikes against contents if an outage explains them after all.

An outage ends searchers one after the other, within tens of milliseconds. The
first losses are classified while the others still answer, so each content that
ran there gets a strike, and two outages would quarantine innocent ones. So
unrelated searchers are probed once more, a little later. The strike stands in
the meantime, as a content that does crash searchers must not get any further.
"""

import logging
import threading
from collections.abc import Callable
from dataclasses import replace

from basilwall.backend.loss_classifier import (
    MIN_UNRELATED_DEAD,
    LossClassifier,
    LostSearcher,
)
from basilwall.parts.quarantine import Quarantine
from basilwall.records.ids import Fingerprint, SearcherAddress
from basilwall.records.strike import Evidence, Strike

#: An outage ends its searchers within this time.
OUTAGE_SECONDS = 0.08
#: Time for the strikes of other VMs to arrive here.
STRIKE_TRANSIT_SECONDS = 0.05
#: Contents reviewed at a time; the strikes against further ones stand.
MAX_REVIEWS = 32

#: Returns the searchers that a content may have ended.
CrashedBy = Callable[[Fingerprint], set[SearcherAddress]]

_log = logging.getLogger(__name__)


class StrikeReview:
    """Reviews new strikes, those against one content together."""

    def __init__(
        self,
        quarantine: Quarantine,
        loss_classifier: LossClassifier,
        crashed_by: CrashedBy,
        pause: Callable[[float], object],
    ) -> None:
        """Make a review.

        Args:
            quarantine: Keeps the strikes.
            loss_classifier: Probes unrelated searchers.
            crashed_by: Returns the searchers that a content may have ended,
                as far as no strikes say so.
            pause: Waits for a number of seconds, or until the VM stops.
        """
        self._quarantine = quarantine
        self._loss_classifier = loss_classifier
        self._crashed_by = crashed_by
        self._pause = pause
        self._strikes_by_content: dict[Fingerprint, list[Strike]] = {}
        self._lock = threading.Lock()

    def review(
        self, content: Fingerprint, strike: Strike, lost: LostSearcher
    ) -> bool:
        """Wait, and withdraw a strike if an outage ended its searcher.

        Args:
            content: The content that has just got the strike.
            strike: Its strike, for a searcher that died.
            lost: That searcher.

        Returns:
            True if strikes were withdrawn.
        """
        if not self._is_first(content, strike):
            return False
        self._pause(OUTAGE_SECONDS)
        is_outage = self._has_outage(content, lost)
        with self._lock:
            strikes = self._strikes_by_content.pop(content)
        if not is_outage:
            return False
        _log.warning(
            'strikes withdrawn, as an outage ended other searchers too',
            extra={'fingerprint': content, 'strikes': len(strikes)},
        )
        return self._quarantine.strike(
            content,
            [replace(one, evidence=Evidence.CLEARED) for one in strikes],
        )

    def _is_first(self, content: Fingerprint, strike: Strike) -> bool:
        """Add a strike; return whether it begins the review of its content."""
        with self._lock:
            waiting = self._strikes_by_content.get(content)
            if waiting is not None:
                waiting.append(strike)
                return False
            if len(self._strikes_by_content) >= MAX_REVIEWS:
                return False
            self._strikes_by_content[content] = [strike]
            return True

    def _has_outage(self, content: Fingerprint, lost: LostSearcher) -> bool:
        ended = self._loss_classifier.find_simultaneous(
            lost, self._all_crashed_by(content)
        )
        if len(ended) < MIN_UNRELATED_DEAD:
            return False
        # Other VMs may have lost them to the same content.
        self._pause(STRIKE_TRANSIT_SECONDS)
        ended -= self._all_crashed_by(content)
        return len(ended) >= MIN_UNRELATED_DEAD

    def _all_crashed_by(self, content: Fingerprint) -> set[SearcherAddress]:
        """Return the searchers that this content may have ended."""
        return self._quarantine.struck_searchers(
            content, include_cleared=True
        ) | self._crashed_by(content)
