"""Tests of the task that accepts callers' connections."""

import socket
import threading
from types import SimpleNamespace

from basilwall.ingress.open_connections import OpenConnections
from basilwall.ingress.server import ingress_server
from basilwall.parts.clock import SystemClock
from basilwall.parts.tasks import task_group
from basilwall.standin.ports import reserved_ports

HOST = '127.0.0.1'


class ScarceTasks:
    """Has no thread for the first connection."""

    def __init__(self, tasks):
        self._tasks = tasks
        self._starts = 0

    def start(self, task):
        self._starts += 1
        if self._starts == 2:
            raise RuntimeError("can't start new thread")
        return self._tasks.start(task)


def test_a_connection_without_a_thread_does_not_end_the_accepting_task():
    served = threading.Event()

    def serve(caller):
        caller.close()
        served.set()

    connections = OpenConnections(9, SystemClock())
    ingress = SimpleNamespace(connections=connections, serve=serve)
    with task_group('test') as tasks, reserved_ports(1) as port:
        address = f'{HOST}:{port}'
        with ingress_server(ingress, address, ScarceTasks(tasks)):
            for _ in range(2):
                with socket.create_connection((HOST, port), 5) as caller:
                    assert caller.recv(1) == b''
            assert served.wait(5)
    assert len(ingress.connections) == 1
