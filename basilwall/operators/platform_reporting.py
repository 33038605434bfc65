"""Reports what is in force, what was refused, and how the platform is read."""

from basilwall.configuration.platform_watch import (
    PlatformWatch,
    combined_health,
)
from basilwall.operators.status import KeyStatus, PlatformStatus
from basilwall.parts.clock import Clock
from basilwall.parts.refusals import NO_REFUSAL
from basilwall.parts.revisions import RevisionRegister


class PlatformReporter:
    """Reads the register and the watches, changes neither."""

    def __init__(
        self,
        register: RevisionRegister,
        watches: list[PlatformWatch],
        clock: Clock,
    ) -> None:
        self._register = register
        self._watches = watches
        self._clock = clock

    def platform_status(self) -> PlatformStatus:
        """Return when the platform was read and how far it is."""
        health = combined_health(self._watches)
        read_at = health.last_read_at
        age = None if read_at is None else self._clock.monotonic() - read_at
        return PlatformStatus(
            age,
            health.failures,
            health.calls,
            health.revision,
            max(
                (known.revision for known in self._register.digest().values()),
                default=0,
            ),
        )

    def key_statuses(self) -> dict[str, KeyStatus]:
        """Return the revision in force of each key, and refused ones."""
        digest = self._register.digest()
        refusals = self._register.refusals(digest)
        return {
            key: KeyStatus(
                known.revision,
                known.refused,
                refusals.get(key, NO_REFUSAL).reason,
            )
            for key, known in sorted(digest.items())
        }
