"""What a source of configuration values offers, and how it fails."""

from abc import ABC, abstractmethod

import msgspec

from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import Revision


class PlatformError(Exception):
    """The platform could not be read; the values read before stay in force."""


class UnusableReplyError(PlatformError):
    """The platform answered, but the reply can't be used."""


class WatchReply(msgspec.Struct, frozen=True):
    """The values above the requested revision.

    If `is_whole` is True, `values` are all values that exist: other keys have
    been removed, but for `live_keys`, whose values were known before.
    `revision` is the highest revision of the platform. If
    `is_restored` is True, the platform came back from an older copy: entries
    may be missing because they were lost, or be there because their removal
    was. `was_silent` says that the platform did not answer for a while before,
    so entries may have lapsed meanwhile.
    """

    revision: Revision
    values: tuple[PublishedValue, ...]
    is_whole: bool = False
    is_restored: bool = False
    live_keys: tuple[str, ...] = ()
    was_silent: bool = False


class PlatformReader(ABC):
    """Source of configuration values."""

    @abstractmethod
    def watch(self, after: Revision) -> WatchReply:
        """Wait for values with a revision above `after`.

        Args:
            after: The highest revision known to the caller,
                `NO_REVISION` for none.

        Returns:
            The values; none if the wait timed out.

        Raises:
            PlatformError: If the values could not be read.
        """
