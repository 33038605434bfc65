"""A stand-in for the platform's configuration service and fleet list.

Tests and the demo publish values; each change gets the next revision. The
service counts the calls that it gets; a long-polling watch counts as one.
"""

import threading
import time
from collections import deque
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from basilwall.configuration.service_messages import ServiceReply, ServiceValue
from basilwall.standin.http_server import HttpStandIn, SilencedHandler

MAX_VALUE_BYTES = 1_048_576
MAX_CALLS_PER_SECOND = 2000
#: Published values that are kept for reads of an earlier revision.
MAX_HISTORY_VALUES = 1024
HTTP_OK = 200
HTTP_TOO_MANY = 429
HTTP_TOO_LARGE = 413
HTTP_UNAVAILABLE = 503


class _SwitchChange(msgspec.Struct):
    down: bool = False
    stale: bool = False
    #: Serve nothing above this revision, even if readers have newer values.
    show_up_to: int | None = None


class _PlatformHandler(SilencedHandler):
    stand_in: 'PlatformStandIn'

    def do_GET(self) -> None:
        if self.stand_in.is_down:
            self.reply_json(HTTP_UNAVAILABLE, {'error': 'down'})
            return
        if not self.stand_in.admit_call():
            self.reply_json(HTTP_TOO_MANY, {'error': 'too many calls'})
            return
        fields = parse_qs(urlsplit(self.path).query)
        reply = self.stand_in.watch(
            fields['prefix'][0],
            int(fields['after'][0]),
            float(fields['wait_s'][0]),
        )
        if self.stand_in.is_down:
            self.reply_json(HTTP_UNAVAILABLE, {'error': 'down'})
            return
        self.reply_json(HTTP_OK, reply)

    def do_PUT(self) -> None:
        """Publish a value, or set the switches at /switches."""
        body = self.read_body()
        path = unquote(urlsplit(self.path).path)
        if path == '/switches':
            change = msgspec.json.decode(body, type=_SwitchChange)
            self.stand_in.set_switches(down=change.down, stale=change.stale)
            if change.show_up_to is not None:
                self.stand_in.freeze_at(change.show_up_to)
            self.reply_json(HTTP_OK, change)
            return
        if len(body) > MAX_VALUE_BYTES:
            self.reply_json(HTTP_TOO_LARGE, {'error': 'too large'})
            return
        key = path.removeprefix('/v1/values/')
        revision = self.stand_in.publish(key, body)
        self.reply_json(HTTP_OK, {'revision': revision})


class PlatformStandIn(HttpStandIn):
    """Serves published values with revisions; can be down or stale."""

    handler_class = _PlatformHandler

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.is_down = False
        #: Watches serve nothing above this revision; None serves all.
        self.max_visible_revision: int | None = None
        self.calls = 0
        self._recent_call_times: deque[float] = deque()
        self._by_key: dict[str, ServiceValue] = {}
        self._history: deque[ServiceValue] = deque(maxlen=MAX_HISTORY_VALUES)
        self._revision = 0
        self._changed = threading.Condition()

    def publish(self, key: str, body: bytes) -> int:
        """Publish a value and return its revision."""
        with self._changed:
            self._revision += 1
            revision = self._revision
            self._by_key[key] = ServiceValue(key, revision, body)
            self._history.append(self._by_key[key])
            self._changed.notify_all()
        return revision

    def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> ServiceReply:
        """Wait up to `wait_seconds` for values above a revision."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._visible_revision() > after, wait_seconds
            )
            visible = self._visible_revision()
            by_key = self._by_key
            if self.max_visible_revision is not None:
                shown = [
                    former
                    for former in self._history
                    if former.revision <= visible
                ]
                by_key = {former.key: former for former in shown}
            values = tuple(
                published
                for published in by_key.values()
                if published.revision > after
                and published.key.startswith(prefix)
            )
        return ServiceReply(visible, values)

    def set_switches(self, *, down: bool, stale: bool) -> None:
        """Set whether the service is down and whether it is stale.

        A stale service serves nothing newer than the current revision.
        """
        with self._changed:
            self.is_down = down
            self.max_visible_revision = self._revision if stale else None
            self._changed.notify_all()

    def freeze_at(self, revision: int) -> None:
        """Serve only values published up to a revision."""
        with self._changed:
            self.max_visible_revision = revision
            self._changed.notify_all()

    def admit_call(self) -> bool:
        """Count one call; False if it exceeds the rate limit."""
        now = time.monotonic()
        with self._changed:
            self.calls += 1
            self._recent_call_times.append(now)
            while self._recent_call_times[0] < now - 1:
                self._recent_call_times.popleft()
            return len(self._recent_call_times) <= MAX_CALLS_PER_SECOND

    def _visible_revision(self) -> int:
        if self.max_visible_revision is not None:
            return min(self.max_visible_revision, self._revision)
        return self._revision
