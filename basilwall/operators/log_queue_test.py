"""Logs that never wait: what finds no room is dropped and counted."""

import logging
import queue

from basilwall.operators.log_queue import DroppingHandler, logging_to_stdout


def record(number):
    return logging.makeLogRecord({'msg': f'line {number}'})


def test_lines_without_room_are_counted_in_the_next_that_gets_through():
    waiting = queue.Queue(2)
    handler = DroppingHandler(waiting)
    for number in range(5):
        handler.handle(record(number))
    assert handler.dropped == 3
    assert waiting.get().getMessage() == 'line 0'
    handler.handle(record(5))
    waiting.get()
    after = waiting.get()
    assert (after.getMessage(), after.dropped_before) == ('line 5', 3)
    assert handler.dropped == 0


def test_lines_are_json_on_standard_output(capsys):
    with logging_to_stdout('INFO'):
        logging.getLogger('a').info('told', extra={'request': 'id-1'})
    line = capsys.readouterr().out.splitlines()[0]
    assert '"message":"told","request":"id-1"' in line
