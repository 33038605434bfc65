"""Revisions that were refused by their check, with the reason.

A refusal is shown to operators and sent to other VMs. Only a refusal by this
VM itself keeps it from checking a revision again: another VM may have refused
it because it runs an older version of the program.
"""

from dataclasses import dataclass

from basilwall.records.revision import NO_REVISION, Revision

#: Longest part of a reason that is stored.
MAX_REASON_CHARACTERS = 500
#: Memory of the refusal of a key, with its longest reason.
REFUSAL_BYTES = 4096
#: Locally refused revisions stored for each key, the highest ones.
MAX_REFUSED_PER_KEY = 8


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused revision of a key and the reason."""

    revision: Revision
    reason: str


NO_REFUSAL = Refusal(NO_REVISION, '')


class Refusals:
    """The newest refusal of each key, until a value as new is in force."""

    def __init__(self) -> None:
        self.by_key: dict[str, Refusal] = {}
        self._locally_refused_by_key: dict[str, tuple[Revision, ...]] = {}

    @property
    def size_bytes(self) -> int:
        """Memory of all refusals at most, about."""
        return len(self.by_key) * REFUSAL_BYTES

    def record_local(self, key: str, revision: Revision, reason: str) -> None:
        """Record that this VM refused a revision."""
        stored = self._locally_refused_by_key.get(key, ())
        newest = sorted((*stored, revision))[-MAX_REFUSED_PER_KEY:]
        self._locally_refused_by_key[key] = tuple(newest)
        self.record(key, Refusal(revision, reason))

    def record(self, key: str, refusal: Refusal) -> None:
        """Record a refusal for operators if it is the newest of its key."""
        if refusal.revision > self.by_key.get(key, NO_REFUSAL).revision:
            reason = refusal.reason[:MAX_REASON_CHARACTERS]
            self.by_key[key] = Refusal(refusal.revision, reason)

    def was_refused_locally(self, key: str, revision: Revision) -> bool:
        """Return whether this VM has already refused a revision."""
        return revision in self._locally_refused_by_key.get(key, ())

    def discard_up_to(self, key: str, revision: Revision) -> None:
        """Drop the refusal of a key if it is not newer than `revision`."""
        if self.by_key.get(key, NO_REFUSAL).revision <= revision:
            self.by_key.pop(key, None)
