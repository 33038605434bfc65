"""Logs as JSON lines on standard error."""

import logging
import sys
from datetime import UTC, datetime
from typing import Any

import msgspec

#: Attributes of every log record; all others were given as `extra` fields.
_STANDARD_ATTRIBUTES = frozenset(logging.makeLogRecord({}).__dict__) | {
    'message',
    'taskName',
}


class JsonLinesFormatter(logging.Formatter):
    """Formats each record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON, its `extra` fields beside the standard."""
        line: dict[str, Any] = {
            'time': datetime.fromtimestamp(record.created, UTC).isoformat(),
            'level': record.levelname,
            'logger': record.name,
            'message': record.getMessage(),
        }
        line.update(
            (name, field)
            for name, field in record.__dict__.items()
            if name not in _STANDARD_ATTRIBUTES
        )
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def set_up_logs(level: str) -> None:
    """Log `level` and above to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonLinesFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
