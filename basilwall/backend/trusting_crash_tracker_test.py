"""Fake crash tracker for tests that don't concern crashes."""

from basilwall.parts.quarantine import Suspicion


class TrustingCrashTracker:
    """Treats every content as known to be good."""

    def is_known_good(self, content, snapshot):
        return True

    def suspicion_of(self, content):
        return Suspicion.NONE

    def struck_searchers(self, content):
        return set()

    def note_outcome(self, *ended):
        """Ignore the outcome."""
