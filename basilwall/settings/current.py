"""The settings in force, reloaded when their file changes."""

import logging
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

from basilwall.settings.entry import EntrySettings

#: Settings that take effect while running; others at the next start.
RELOADABLE_FIELDS = frozenset(('seeds', 'bounds'))

_log = logging.getLogger(__name__)


class SettingsError(Exception):
    """A settings file is missing or invalid; the message lists its errors."""


class CurrentSettings:
    """The last valid settings of a file."""

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
        """Reload the file if its content changed.

        If the file is missing or invalid, the former settings stay in force.

        Returns:
            True if the value of a setting changed.
        """
        content = self._read_content()
        if content == self._content:
            return False
        self._content = content
        try:
            reloaded = self._read(self._path)
        except SettingsError as error:
            _log.error('settings not reloaded', extra={'error': str(error)})
            return False
        return self._apply(reloaded)

    def _apply(self, reloaded: EntrySettings) -> bool:
        changed = sorted(
            field.name
            for field in fields(reloaded)
            if getattr(reloaded, field.name) != getattr(self.value, field.name)
        )
        deferred = [name for name in changed if name not in RELOADABLE_FIELDS]
        self.value = reloaded
        _log.info(
            'settings reloaded',
            extra={'changed': changed, 'from_next_start': deferred},
        )
        return bool(changed)

    def _read_content(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError as error:
            _log.warning('settings not read', extra={'error': str(error)})
            return None
