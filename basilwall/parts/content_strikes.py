"""The strikes against one request content, and the crashes they stand for.

Several VMs may report the same crash of a searcher, and a searcher may crash
again once it has been started at the same address.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field, replace

from basilwall.records.ids import (
    Fingerprint,
    IncidentId,
    SearcherAddress,
    ServiceName,
)
from basilwall.records.strike import UNKNOWN_PROCESS, Evidence, Strike

#: Strikes kept for one content, cleared ones included.
MAX_STRIKES = 32
#: Strikes on one process within this time belong to the same crash.
SAME_CRASH_SECONDS = 3.0
#: Time after which no verdict on a pending strike is expected any more.
VERDICT_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class DatedStrike:
    """A strike and when its searcher was lost, in monotonic seconds."""

    strike: Strike
    lost_at: float

    @property
    def is_uncleared(self) -> bool:
        """True unless an answer has cleared the strike."""
        return self.strike.evidence is not Evidence.CLEARED

    def is_undecided(self, now: float) -> bool:
        """Return whether a verdict on the loss is still expected."""
        is_pending = self.strike.evidence is Evidence.PENDING
        return is_pending and now - self.lost_at < VERDICT_TIMEOUT_SECONDS

    def is_same_crash(self, other: 'DatedStrike') -> bool:
        """Return whether both strikes report the same crash."""
        own, others = self.strike, other.strike
        is_same_process = own.process == others.process or (
            UNKNOWN_PROCESS in {own.process, others.process}
        )
        return (
            own.searcher == others.searcher
            and is_same_process
            and abs(self.lost_at - other.lost_at) <= SAME_CRASH_SECONDS
        )


@dataclass(slots=True)
class ContentStrikes:
    """The strikes against one content, which expire together.

    `expires_at` and `changed_at` are in monotonic seconds.
    """

    fingerprint: Fingerprint
    expires_at: float
    changed_at: float
    strike_by_incident: dict[IncidentId, DatedStrike] = field(
        default_factory=dict
    )

    def add(self, strike: Strike, lost_at: float) -> bool:
        """Add a strike; return False if it changes nothing."""
        known = self.strike_by_incident.get(strike.incident)
        if known is None and len(self.strike_by_incident) >= MAX_STRIKES:
            return False
        if known is not None and known.strike.evidence >= strike.evidence:
            return False
        self.strike_by_incident[strike.incident] = DatedStrike(
            strike, known.lost_at if known else lost_at
        )
        return True

    def all_strikes(self) -> list[DatedStrike]:
        """Return all strikes, cleared ones included."""
        return list(self.strike_by_incident.values())

    def strikes_at(self, now: float) -> list[Strike]:
        """Return all strikes with their age at a time, in monotonic seconds."""
        return [
            replace(dated.strike, seconds_ago=max(now - dated.lost_at, 0))
            for dated in self.all_strikes()
        ]

    def crashes(self) -> list[DatedStrike]:
        """Return the strongest uncleared strike of each crash, by time."""
        uncleared = [
            dated for dated in self.all_strikes() if dated.is_uncleared
        ]
        strongest_first = sorted(
            uncleared, key=lambda dated: (-dated.strike.evidence, dated.lost_at)
        )
        crashes: list[DatedStrike] = []
        for dated in strongest_first:
            if not any(map(dated.is_same_crash, crashes)):
                crashes.append(dated)
        return sorted(crashes, key=lambda crash: crash.lost_at)

    def is_undecided(self, now: float) -> bool:
        """Return whether a verdict on any strike is still expected."""
        return any(dated.is_undecided(now) for dated in self.all_strikes())

    def struck_searchers(self) -> set[SearcherAddress]:
        """Return the searchers with an uncleared strike."""
        return {
            dated.strike.searcher
            for dated in self.all_strikes()
            if dated.is_uncleared
        }


def total_weight(
    crashes: Sequence[DatedStrike],
    weigh: Callable[[DatedStrike], int],
    moment_seconds: float,
) -> int:
    """Add the weights of crashes; of those of one moment the highest counts.

    A crash under a content that was sent after an earlier one had been seen
    begins a moment of its own.

    Args:
        crashes: The crashes under one content, by time.
        weigh: Returns the weight of a crash.
        moment_seconds: Crashes within this time count as one; 0 if each counts.
    """
    total = 0
    heaviest = 0
    moment_ends_at = float('-inf')
    for crash in crashes:
        if crash.strike.follows_loss or crash.lost_at >= moment_ends_at:
            total += heaviest
            heaviest = 0
            moment_ends_at = crash.lost_at + moment_seconds
        heaviest = max(heaviest, weigh(crash))
    return total + heaviest


def is_answer_by_same_part(
    strike: Strike,
    answered: Collection[SearcherAddress],
    service: ServiceName,
) -> bool:
    """Return whether an answer came from the part of a struck searcher.

    Args:
        strike: The strike.
        answered: The replicas of the part that answered, if they are known.
        service: The service that answered, empty if only replicas are known.
    """
    has_service = bool(service) and strike.service == service
    return has_service or strike.searcher in answered
