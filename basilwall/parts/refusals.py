"""Revisions that did not pass their check, with the reason.

A refusal is shown to operators and told to other VMs. Only what was refused
here stops a revision from being taken in here: another VM may run an older
program that knows less.
"""

from dataclasses import dataclass

#: Longest reason kept of a refusal, in characters.
MAX_REASON_CHARACTERS = 500
#: Refused revisions remembered for each key, the newest ones.
MAX_REFUSED_PER_KEY = 8


@dataclass(frozen=True, slots=True)
class Refusal:
    """A revision of a key that did not pass its check, and why."""

    revision: int
    reason: str


NO_REFUSAL = Refusal(0, '')


class Refusals:
    """The newest refusal of each key, while no newer value is in force."""

    def __init__(self) -> None:
        self.by_key: dict[str, Refusal] = {}
        self._refused_here_by_key: dict[str, tuple[int, ...]] = {}

    def record_local(self, key: str, revision: int, reason: str) -> None:
        """Note that this VM itself refused a revision."""
        known = self._refused_here_by_key.get(key, ())
        newest = sorted((*known, revision))[-MAX_REFUSED_PER_KEY:]
        self._refused_here_by_key[key] = tuple(newest)
        self.record(key, Refusal(revision, reason))

    def record(self, key: str, refusal: Refusal) -> None:
        """Keep a refusal for operators if it is the newest of its key."""
        if refusal.revision > self.by_key.get(key, NO_REFUSAL).revision:
            reason = refusal.reason[:MAX_REASON_CHARACTERS]
            self.by_key[key] = Refusal(refusal.revision, reason)

    def was_refused_locally(self, key: str, revision: int) -> bool:
        """Return whether a revision need not be checked again."""
        return revision in self._refused_here_by_key.get(key, ())

    def discard_up_to(self, key: str, revision: int) -> None:
        """Drop the refusal of a key once a value as new is in force."""
        if self.by_key.get(key, NO_REFUSAL).revision <= revision:
            self.by_key.pop(key, None)
