"""A whole session of queries, line by line, on a clock that tests own."""

import random
from pathlib import Path

from basilwall.document.model import Document
from basilwall.query.fakes_test import SERVICE, Searcher, World, make_snapshot
from basilwall.records.answer import QueryAnswer

GOLDEN = Path(__file__).parent / 'golden' / 'answers.txt'
ADDRESSES = [f'searcher-{number}:1' for number in range(6)]


def ask(world, caller, **document):
    """Run one query and write down what its caller got."""
    world.log(caller, 'asks')
    made = Document(service=SERVICE, **document)
    outcome = world.ask(caller, made, made.deadline_ms / 1000)
    if isinstance(outcome, QueryAnswer):
        got = ['gets', outcome.snapshot]
    else:
        got = ['is refused', outcome.reason.value, f'ran={outcome.ran}']
    coverage = outcome.coverage
    missing = [f'{one.instance} {one.reason.value}' for one in coverage.missing]
    parts = f'{coverage.answered} of {coverage.total} parts,'
    records = f'{coverage.records_covered} of {coverage.records_total} records'
    world.log(caller, *got, parts, records, *missing)
    if isinstance(outcome, QueryAnswer):
        world.log(caller, 'reads', outcome.records.decode())


def spoil(world, **mode_by_number):
    """Set what goes wrong at searchers, named `at_<number>`."""
    for place, address in enumerate(ADDRESSES):
        searcher = world.by_address[address]
        searcher.mode = mode_by_number.get(f'at_{place}', 'normal')


def session():
    """Return the lines of a session through a roll-over."""
    # With this seed the choices meet each kind of bad reply.
    world = World(
        {one: Searcher(['s1']) for one in ADDRESSES},
        rng=random.Random(3),
    )
    former, newer = (
        make_snapshot('s1', 2, ADDRESSES, records=2),
        make_snapshot('s2', 3, ADDRESSES, records=2),
    )
    world.publish(former)
    ask(world, 'all well')
    spoil(world, **{f'at_{place}': 'late' for place in (0, 2, 4)})
    ask(world, 'stragglers')
    spoil(world, at_0='swapped', at_1='cut', at_2='doubled', at_3='cut')
    ask(world, 'bad replies')
    spoil(world)
    world.publish(newer, former)
    ask(world, 'published')
    for searcher in world.by_address.values():
        searcher.serves = ['s2']
    ask(world, 'former gone')
    world.publish(newer)
    spoil(world, at_0='partial', at_3='partial')
    ask(world, 'partial', tolerated_coverage=0.5)
    spoil(world, **{f'at_{place}': 'cut' for place in range(6)})
    ask(world, 'no hope')
    return world.session


def test_a_session_reads_as_the_golden_file():
    assert '\n'.join([*session(), '']) == GOLDEN.read_text()
