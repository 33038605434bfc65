"""A port that closes and reopens revokes the leaving notices."""

import socket

from basilwall.backend.restart_detector import RestartDetector
from basilwall.parts.clock import ManualClock
from basilwall.parts.leaving_searchers import LeavingSearchers


def listen(port=0):
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind(('127.0.0.1', port))
    server.listen()
    return server


def test_only_reopened_port_revokes_leaving_notice():
    leaving_searchers = LeavingSearchers(ManualClock())
    detector = RestartDetector(leaving_searchers)
    server = listen()
    port = server.getsockname()[1]
    address = f'127.0.0.1:{port}'
    leaving_searchers.report_leaving(address)
    leaving_searchers.report_leaving('no address at all')
    detector.check_ports()
    assert leaving_searchers.is_leaving(address)
    server.close()
    detector.check_ports()
    assert leaving_searchers.is_leaving(address)
    with listen(port):
        detector.check_ports()
    assert not leaving_searchers.is_leaving(address)


def test_leaving_state_of_fleet_list_is_kept():
    leaving_searchers = LeavingSearchers(ManualClock())
    detector = RestartDetector(leaving_searchers)
    server = listen()
    port = server.getsockname()[1]
    address = f'127.0.0.1:{port}'
    leaving_searchers.update_listed({address})
    server.close()
    detector.check_ports()
    with listen(port):
        detector.check_ports()
    assert leaving_searchers.is_leaving(address)
