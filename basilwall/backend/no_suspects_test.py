"""A fake for tests that are about something else than crashes."""

from basilwall.parts.quarantine import Suspicion


class NoSuspects:
    """Knows every content as good."""

    def is_known_good(self, content, snapshot):
        return True

    def judge(self, content):
        return Suspicion.NONE

    def struck(self, content):
        return set()

    def saw(self, *ended):
        """Suspect nobody."""
