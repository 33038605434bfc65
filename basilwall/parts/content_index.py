"""Contents with strikes, by fingerprint and by searcher."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterator

from basilwall.parts.content_strikes import ContentStrikes
from basilwall.records.ids import Fingerprint, SearcherAddress


class ContentIndex:
    """Contents with strikes, oldest change first; not thread-safe.

    At most `max_entries` contents are kept; the one whose last change is
    oldest is removed first.
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._by_fingerprint: OrderedDict[Fingerprint, ContentStrikes] = (
            OrderedDict()
        )
        self._fingerprints_by_searcher: defaultdict[
            SearcherAddress, set[Fingerprint]
        ] = defaultdict(set)

    def __len__(self) -> int:
        """Return the number of contents."""
        return len(self._by_fingerprint)

    def get(self, fingerprint: Fingerprint) -> ContentStrikes | None:
        """Return the strikes against a content, None if there are none."""
        return self._by_fingerprint.get(fingerprint)

    def contents(self) -> list[ContentStrikes]:
        """Return all contents, newest change last."""
        return list(self._by_fingerprint.values())

    def on_same_searcher(
        self, entry: ContentStrikes, searcher: SearcherAddress
    ) -> Iterator[ContentStrikes]:
        """Yield the other contents with a strike on a searcher."""
        fingerprints = self._fingerprints_by_searcher.get(searcher, set())
        for fingerprint in tuple(fingerprints - {entry.fingerprint}):
            yield self._by_fingerprint[fingerprint]

    def put(self, entry: ContentStrikes) -> None:
        """Add a content, or record that it has changed."""
        self._by_fingerprint[entry.fingerprint] = entry
        self._by_fingerprint.move_to_end(entry.fingerprint)
        for dated in entry.all_strikes():
            searcher = dated.strike.searcher
            self._fingerprints_by_searcher[searcher].add(entry.fingerprint)
        while len(self._by_fingerprint) > self._max_entries:
            self._remove(next(iter(self._by_fingerprint.values())))

    def remove_expired(self, now: float) -> None:
        """Remove the contents that expired by a time, in monotonic seconds."""
        for entry in self.contents():
            if entry.expires_at <= now:
                self._remove(entry)

    def _remove(self, entry: ContentStrikes) -> None:
        self._by_fingerprint.pop(entry.fingerprint)
        for dated in entry.all_strikes():
            searcher = dated.strike.searcher
            fingerprints = self._fingerprints_by_searcher[searcher]
            fingerprints.discard(entry.fingerprint)
            if not fingerprints:
                self._fingerprints_by_searcher.pop(searcher)
