"""Tests of the log queue: records beyond its size are dropped and counted."""

import logging
import queue

from basilwall.operators.log_queue import DroppingHandler, logging_to_stdout


def record(number):
    return logging.makeLogRecord({'msg': f'line {number}'})


def test_the_next_queued_record_carries_the_number_of_dropped_ones():
    records = queue.Queue(2)
    handler = DroppingHandler(records)
    for number in range(5):
        handler.handle(record(number))
    assert handler.dropped == 3
    assert records.get().getMessage() == 'line 0'
    handler.handle(record(5))
    records.get()
    after = records.get()
    assert (after.getMessage(), after.dropped_before) == ('line 5', 3)
    assert handler.dropped == 0


def test_records_are_json_lines_on_standard_output(capsys):
    with logging_to_stdout('INFO'):
        logging.getLogger('a').info('told', extra={'request': 'id-1'})
    line = capsys.readouterr().out.splitlines()[0]
    assert '"message":"told","request":"id-1"' in line
