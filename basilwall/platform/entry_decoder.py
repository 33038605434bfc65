"""Decodes the entries of a list, and logs those that can't be used."""

import logging
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from basilwall.platform.decoding import DECODE_ERRORS, cut_for_log

#: Entries that can't be used are logged one by one up to this number.
MAX_LOGGED_ENTRIES = 8

DecodedT = TypeVar('DecodedT')

_log = logging.getLogger(__name__)


class EntryDecoder:
    """Decodes the entries of one version of a document.

    An entry that can't be used takes no other one with it.
    """

    def __init__(self, version: int) -> None:
        """Make the decoder of a version, which is logged."""
        self._version = version
        self._skipped: list[dict[str, str]] = []

    def decode(
        self,
        kind: str,
        decode: Callable[[msgspec.Raw], DecodedT],
        entry: msgspec.Raw,
    ) -> DecodedT | None:
        """Return the decoded entry, None if it can't be used."""
        try:
            return decode(entry)
        except DECODE_ERRORS as error:
            self._skipped.append(
                {
                    'kind': kind,
                    'reason': cut_for_log(str(error)),
                    'entry': cut_for_log(repr(bytes(entry))),
                }
            )
        return None

    def decode_all(
        self,
        kind: str,
        decode: Callable[[msgspec.Raw], DecodedT],
        entries: Iterable[msgspec.Raw],
    ) -> list[DecodedT]:
        """Return the decoded entries without those that can't be used."""
        decoded = (self.decode(kind, decode, entry) for entry in entries)
        return [one for one in decoded if one is not None]

    def log_skipped(self) -> None:
        """Log the entries that can't be used, some of them at most."""
        for fields in self._skipped[:MAX_LOGGED_ENTRIES]:
            _log.warning(
                'entry of the route table not usable',
                extra={'version': self._version, **fields},
            )
        if len(self._skipped) > MAX_LOGGED_ENTRIES:
            _log.warning(
                'further entries of the route table not usable',
                extra={
                    'version': self._version,
                    'entries': len(self._skipped) - MAX_LOGGED_ENTRIES,
                },
            )
