"""The settings in force, read again when their file changes."""

import logging
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

from basilwall.settings.entry import EntrySettings

#: Settings that are taken in while running; others wait for the next start.
RELOADABLE_FIELDS = frozenset(('seeds', 'bounds'))

_log = logging.getLogger(__name__)


class SettingsError(Exception):
    """A settings file that can't be used; says what is wrong with it."""


class CurrentSettings:
    """The last settings that could be read."""

    def __init__(
        self,
        path: Path,
        read: Callable[[Path], EntrySettings],
    ) -> None:
        self.value = read(path)
        self._path = path
        self._read = read
        self._content = self._read_content()

    def reload_if_changed(self) -> bool:
        """Read the file again if it changed.

        Returns:
            True if other settings are in force now.
        """
        content = self._read_content()
        if content == self._content:
            return False
        self._content = content
        try:
            fresh = self._read(self._path)
        except SettingsError as error:
            _log.error('settings not reloaded', extra={'error': str(error)})
            return False
        return self._apply(fresh)

    def _apply(self, fresh: EntrySettings) -> bool:
        changed = sorted(
            one.name
            for one in fields(fresh)
            if getattr(fresh, one.name) != getattr(self.value, one.name)
        )
        waiting = [name for name in changed if name not in RELOADABLE_FIELDS]
        self.value = fresh
        _log.info(
            'settings reloaded',
            extra={'changed': changed, 'from_next_start': waiting},
        )
        return bool(changed)

    def _read_content(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError as error:
            _log.warning('settings not read', extra={'error': str(error)})
            return None
