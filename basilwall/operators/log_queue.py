"""Logs as JSON lines on standard output, never waited for.

Lines go through a bounded queue to a thread of their own. If the reader of
standard output is slower than the lines come, lines are dropped and counted,
and the next line that gets through says how many.
"""

import logging
import queue
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from logging.handlers import QueueHandler, QueueListener

from basilwall.operators.logs import JsonLinesFormatter

#: Lines that wait to be written; further ones are dropped.
MAX_QUEUED_LINES = 2048


class DroppingHandler(QueueHandler):
    """Puts records on a bounded queue and drops what has no room."""

    def __init__(self, waiting: 'queue.Queue[logging.LogRecord]') -> None:
        super().__init__(waiting)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is: the writer formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        if self.dropped:
            record.dropped_before = self.dropped
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
        else:
            self.dropped = 0


class LogWriter:
    """Writes the queued lines until it is told to finish."""

    def __init__(self, listener: QueueListener) -> None:
        self._listener = listener
        self._is_running = True
        listener.start()

    def close(self) -> None:
        """Write what is queued, and no more."""
        if self._is_running:
            self._is_running = False
            self._listener.stop()


@contextmanager
def logging_to_stdout(level: str) -> Iterator[LogWriter]:
    """Write all logs of at least `level` for the length of a block.

    Args:
        level: The name of the least level.

    Yields:
        The writer.
    """
    waiting: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(JsonLinesFormatter())
    handler = DroppingHandler(waiting)
    running = LogWriter(QueueListener(waiting, writer))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    try:
        yield running
    finally:
        running.close()
