"""Non-blocking logs as JSON lines on standard output.

Records go through a bounded queue to a writer thread. If standard output is
read more slowly than records are logged, records are dropped and counted, and
the next record that is queued carries the count.
"""

import logging
import queue
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from logging.handlers import QueueHandler, QueueListener

from basilwall.operators.logs import JsonLinesFormatter

#: Records in the queue; further ones are dropped.
MAX_QUEUED_LINES = 2048


class DroppingHandler(QueueHandler):
    """Puts records on a bounded queue and drops them while it is full."""

    def __init__(self, records: 'queue.Queue[logging.LogRecord]') -> None:
        super().__init__(records)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the writer thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop and count it if the queue is full."""
        if self.dropped:
            record.dropped_before = self.dropped
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
        else:
            self.dropped = 0


class LogWriter:
    """Writes queued records until it is closed."""

    def __init__(self, listener: QueueListener) -> None:
        self._listener = listener
        self._is_running = True
        listener.start()

    def close(self) -> None:
        """Write all queued records and stop the writer thread."""
        if self._is_running:
            self._is_running = False
            self._listener.stop()


@contextmanager
def logging_to_stdout(level: str) -> Iterator[LogWriter]:
    """Log to standard output for the length of a block.

    Args:
        level: The name of the lowest level that is logged.

    Yields:
        The writer.
    """
    records: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    stream_handler = logging.StreamHandler(sys.stdout)
    stream_handler.setFormatter(JsonLinesFormatter())
    handler = DroppingHandler(records)
    log_writer = LogWriter(QueueListener(records, stream_handler))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    try:
        yield log_writer
    finally:
        log_writer.close()
