"""Tests of the check whether this VM reaches any searcher."""

import random

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.records.forwarding import LossReason, Reply, Unsent
from basilwall.records.searcher import Searcher
from basilwall.routing.searcher_links import SearcherLinks

SEARCHERS = [
    Searcher(f's-{number}', 's', f's-{number}:1', 'z', 2, False, 0, 1)
    for number in range(9)
]
ADDRESSES = {searcher.address for searcher in SEARCHERS}


class Network:
    """The searchers that accept no connection, as a test sets them."""

    def __init__(self, clock):
        self.clock = clock
        self.dead = set()
        self.probes = 0
        self.probe_seconds = 0

    def probe(self, addresses, _):
        self.probes += 1
        self.clock.advance(self.probe_seconds)
        return self.dead & set(addresses)


def make():
    clock = ManualClock()
    network = Network(clock)
    links = SearcherLinks(
        lambda: ADDRESSES, clock, random.Random(1), network.probe
    )
    return links, clock, network


def reply():
    return Reply('s-0', 200, b'', (), b'', b'signed', True)


def refused(searcher):
    return Unsent(searcher.searcher_id, LossReason.NOT_CONNECTED)


def start_attempts(links, count):
    for searcher in SEARCHERS[:count]:
        links.record_started(searcher)


def test_links_are_lost_when_all_attempts_hang():
    links, clock, network = make()
    network.dead = ADDRESSES
    start_attempts(links, 3)
    clock.advance(0.2)
    links.check()
    assert not links.are_lost
    clock.advance(0.2)
    links.check()
    assert links.are_lost


def test_links_are_lost_when_only_new_connections_are_refused():
    links, _, network = make()
    network.dead = ADDRESSES
    for searcher in SEARCHERS[:3]:
        links.record_result(SEARCHERS[5], reply())
        links.record_result(searcher, refused(searcher))
    links.check()
    assert links.are_lost


@pytest.mark.parametrize('count', [1, 8])
def test_links_are_not_lost_while_another_searcher_accepts(count):
    links, clock, network = make()
    network.dead = set(sorted(ADDRESSES)[:4])
    start_attempts(links, count)
    clock.advance(1)
    links.check()
    assert network.probes == 1
    assert not links.are_lost
    links.check()
    assert network.probes == 1


def test_a_silent_searcher_is_not_probed_while_others_reply():
    links, clock, network = make()
    for _ in range(20):
        start_attempts(links, 4)
        clock.advance(0.25)
        links.record_result(SEARCHERS[0], reply())
        links.check()
    assert not network.probes


def test_links_are_regained_when_a_searcher_accepts_again():
    links, clock, network = make()
    network.dead = ADDRESSES
    start_attempts(links, 3)
    clock.advance(1)
    links.check()
    links.check()
    assert links.are_lost
    network.dead = set()
    links.check()
    assert not links.are_lost


def test_a_vm_that_was_held_up_during_a_probe_keeps_its_links():
    links, clock, network = make()
    network.dead, network.probe_seconds = ADDRESSES, 2
    start_attempts(links, 3)
    clock.advance(1)
    links.check()
    assert not links.are_lost
