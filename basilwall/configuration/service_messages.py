"""Replies of the configuration service, as JSON.

The service has one counter of changes and no epochs.
"""

import msgspec

from basilwall.configuration.client import WatchReply
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import Revision


class ServiceValue(msgspec.Struct, frozen=True):
    """One value; `revision` is the service's counter at its last change."""

    key: str
    revision: int
    body: bytes


class ServiceReply(msgspec.Struct, frozen=True):
    """The values above a revision, as `WatchReply`."""

    revision: int
    values: tuple[ServiceValue, ...]
    is_whole: bool = False
    is_restored: bool = False
    live_keys: tuple[str, ...] = ()

    def as_watch_reply(self) -> WatchReply:
        """Return the reply as all readers of values give it."""
        return WatchReply(
            Revision(0, self.revision),
            tuple(
                PublishedValue(one.key, Revision(0, one.revision), one.body)
                for one in self.values
            ),
            self.is_whole,
            self.is_restored,
            self.live_keys,
        )
