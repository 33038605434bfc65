"""Reports the values in force, refused values and reads of the platform."""

from basilwall.configuration.platform_watch import (
    PlatformWatch,
    combined_health,
)
from basilwall.operators.status import KeyStatus, PlatformStatus
from basilwall.parts.clock import Clock
from basilwall.parts.refusals import NO_REFUSAL
from basilwall.parts.revisions import RevisionRegister


class PlatformReporter:
    """Builds the platform's part of the status report."""

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
        """Return when the platform was read, and its revision."""
        health = combined_health(self._watches)
        read_at = health.last_read_at
        age = None if read_at is None else self._clock.monotonic() - read_at
        return PlatformStatus(
            age,
            health.failures,
            health.calls,
            health.revision.number,
            max(
                (
                    key_digest.revision.number
                    for key_digest in self._register.digest().values()
                ),
                default=0,
            ),
        )

    def key_statuses(self) -> dict[str, KeyStatus]:
        """Return each key's revision in force, and the refused one if any."""
        digest = self._register.digest()
        refusals = self._register.refusals(digest)
        return {
            key: KeyStatus(
                key_digest.revision.number,
                key_digest.refused.number,
                refusals.get(key, NO_REFUSAL).reason,
            )
            for key, key_digest in sorted(digest.items())
        }
