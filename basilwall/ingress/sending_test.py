"""Tests of callers that don't read their answers."""

import socket
import threading

import pytest

from basilwall.ingress.sending import AnswerSender, CallerStalledError
from basilwall.parts.clock import SystemClock

LARGE = b'x' * 20_000_000


def test_a_caller_that_reads_nothing_is_given_up_while_others_wait():
    caller, vm = socket.socketpair()
    with caller, vm, pytest.raises(CallerStalledError):
        AnswerSender(SystemClock(), lambda: True).send(vm, [LARGE])


def test_an_answer_in_parts_arrives_whole_at_a_caller_that_reads():
    caller, vm = socket.socketpair()
    with caller, vm:
        sender = AnswerSender(SystemClock(), lambda: True)
        parts = [b'head', LARGE, b'end']
        threading.Thread(target=sender.send, args=(vm, parts)).start()
        read = bytearray()
        while not read.endswith(b'end'):
            read += caller.recv(1_000_000)
        assert read == b''.join(parts)
