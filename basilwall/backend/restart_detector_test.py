"""A port that closes and opens again ends the signs of its searcher."""

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


def test_only_a_port_that_was_closed_ends_a_sign():
    departures = LeavingSearchers(ManualClock())
    watch = RestartDetector(departures)
    server = listen()
    port = server.getsockname()[1]
    address = f'127.0.0.1:{port}'
    departures.report_leaving(address)
    departures.report_leaving('no address at all')
    watch.check_ports()
    assert departures.is_leaving(address)
    server.close()
    watch.check_ports()
    assert departures.is_leaving(address)
    with listen(port):
        watch.check_ports()
    assert not departures.is_leaving(address)


def test_what_the_fleet_list_says_stays():
    departures = LeavingSearchers(ManualClock())
    watch = RestartDetector(departures)
    server = listen()
    port = server.getsockname()[1]
    address = f'127.0.0.1:{port}'
    departures.update_listed({address})
    server.close()
    watch.check_ports()
    with listen(port):
        watch.check_ports()
    assert departures.is_leaving(address)
