"""A stand-in for the metadata store of the users' platform.

It serves two calls of the store: a paged range read and a long-polling
watch. Tests write to it directly, and can make it drop its change history,
answer every call with an error, or come back from an older copy of its data.
"""

import base64
import json
import threading
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from basilwall.standin.http_server import HttpStandIn, SilencedHandler

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_UNAVAILABLE = 503
MS_PER_SECOND = 1000
#: Items in one page of a range read.
ITEMS_PER_PAGE = 5


@dataclass(frozen=True, slots=True)
class _Change:
    key: str
    revision: int
    value: bytes | None

    def as_json(self) -> dict[str, Any]:
        if self.value is None:
            return {
                'key': self.key,
                'revision': self.revision,
                'removed': True,
            }
        return {
            'key': self.key,
            'value': base64.b64encode(self.value).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease_id': 0,
        }


@dataclass(frozen=True, slots=True)
class Copy:
    """All changes that a store had at one time."""

    changes: tuple[_Change, ...]


class _StoreHandler(SilencedHandler):
    stand_in: 'MetadataStore'

    def extra_headers(self) -> str:
        return f'Store-Era: {self.stand_in.era}\r\n'

    def reply_json(self, status: int, body: Any) -> None:
        """Send a JSON reply; keys may hold text that is not valid."""
        self.reply(status, json.dumps(body).encode())

    def do_GET(self) -> None:
        store = self.stand_in
        store.calls += 1
        parts = urlsplit(self.path)
        fields = {
            key: values[0] for key, values in parse_qs(parts.query).items()
        }
        prefix = fields.get('prefix', '')
        if store.is_down:
            self.reply_json(HTTP_UNAVAILABLE, {'error': 'down'})
        elif parts.path == '/v1/kv-range':
            self.reply_json(
                HTTP_OK, store.read_page(prefix, fields.get('after', ''))
            )
        elif parts.path == '/v1/kv-watch':
            after = int(fields['after'])
            wait_seconds = int(fields['wait_ms']) / MS_PER_SECOND
            changes = store.watch(prefix, after, wait_seconds)
            self.reply_json(HTTP_OK if changes else HTTP_GONE, changes)
        else:
            self.reply_json(HTTP_NOT_FOUND, {'error': 'no such call'})


class MetadataStore(HttpStandIn):
    """Keys with revisions, served over HTTP.

    Attributes:
        is_down: Calls are answered with status 503.
        era: How often it came back from an older copy, plus one.
        calls: Calls received so far.
    """

    handler_class = _StoreHandler

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.is_down = False
        self.era = 1
        self.calls = 0
        self._changes: list[_Change] = []
        self._compacted_revision = 0
        self._revision = 0
        self._changed = threading.Condition()

    def put(self, key: str, value: bytes) -> int:
        """Write a value and return its revision."""
        return self._change(key, value)

    def remove(self, key: str) -> int:
        """Remove a key and return the revision of the removal."""
        return self._change(key, None)

    def compact(self) -> None:
        """Drop the history; watches from earlier revisions get 410."""
        with self._changed:
            self._compacted_revision = self._revision
            self._changed.notify_all()

    def copy(self) -> Copy:
        """Return a copy of the data, to come back from later."""
        with self._changed:
            return Copy(tuple(self._changes))

    def restore(self, copy: Copy) -> None:
        """Come back from a copy; what was written after it is lost."""
        with self._changed:
            self._changes = list(copy.changes)
            self._revision = max(
                (one.revision for one in copy.changes), default=0
            )
            self._compacted_revision = 0
            self.era += 1
        self.cut_connections()

    def count_on_from(self, revision: int) -> None:
        """Give the next change the revision after a higher one."""
        with self._changed:
            self._revision = revision
            self._changed.notify_all()

    def read_page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of the items under a prefix, after a key."""
        with self._changed:
            by_key = {change.key: change for change in self._changes}
            found = [
                by_key[key]
                for key in sorted(by_key)
                if key.startswith(prefix)
                and key > after
                and by_key[key].value is not None
            ]
            return {
                'items': [
                    change.as_json() for change in found[:ITEMS_PER_PAGE]
                ],
                'has_more': len(found) > ITEMS_PER_PAGE,
                'at': self._revision,
            }

    def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> dict[str, Any]:
        """Wait for changes under a prefix after a revision.

        Returns:
            The changes, or an empty dict if the history after the revision
            was dropped, or if the revision was never given out.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._revision != after or self.is_down,
                wait_seconds,
            )
            if not self._compacted_revision <= after <= self._revision:
                return {}
            events = [
                change.as_json()
                for change in self._changes
                if change.revision > after and change.key.startswith(prefix)
            ]
            return {'events': events, 'at': self._revision}

    def _change(self, key: str, value: bytes | None) -> int:
        with self._changed:
            self._revision += 1
            self._changes.append(_Change(key, self._revision, value))
            self._changed.notify_all()
            return self._revision
