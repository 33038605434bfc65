"""A whole session of crashing requests through three VMs, line by line."""

from pathlib import Path

from basilwall.parts.quarantine import ENTRY_TTL_SECONDS
from basilwall.query.crashing_world_test import (
    CONTENT_BY_BODY,
    CRASHING,
    INNOCENT,
    VMS,
    World,
)

#: How long VMs take to tell each other, in seconds.
LATE = 5
GOLDEN = Path(__file__).parent / 'golden' / 'crashes.txt'


class LoggedWorld(World):
    """Writes down who sends what where, and what is thought of it."""

    def __init__(self):
        self.session = []
        super().__init__()

    def log(self, *words):
        self.session.append(
            ' '.join((f'{self.clock.monotonic():8.2f}', *words))
        )

    def run(self, searcher, body):
        outcome = super().run(searcher, body)
        self.log(f'  searcher {searcher}:', outcome.tag.value)
        return outcome

    def send(self, vm, body):
        self.log(f'vm-{vm} gets', body.decode())
        answered = super().send(vm, body)
        judged = self.vms[vm][1].suspicion_of(CONTENT_BY_BODY[body]).value
        self.log(f'vm-{vm}', 'answers' if answered else 'refuses', judged)
        for entry in self.vms[vm][0].entries():
            for one in self.vms[vm][0].aged_strikes(entry):
                mark = entry.fingerprint[:6]
                evidence = one.evidence.name.lower()
                self.log(f'  strike {mark} {one.searcher} {evidence}')
        return answered

    def tell_all(self):
        self.log('all VMs tell each other')
        for teller in range(VMS):
            for hearer in range(VMS):
                self.share_strikes(teller, hearer)


def session():
    """Return the lines of a session until after the first quarantine."""
    world = LoggedWorld()
    crashing, (innocent, unlucky, *_) = CRASHING[0], INNOCENT
    world.send(0, innocent)
    world.concurrent_queries = {(1, unlucky)}
    world.send(0, crashing)
    world.concurrent_queries = set()
    world.clock.advance(LATE)
    world.tell_all()
    for vm in range(VMS):
        world.send(vm, crashing)
    world.send(2, unlucky)
    world.clock.advance(ENTRY_TTL_SECONDS - LATE)
    world.log('the first quarantine has ended')
    world.send(1, crashing)
    return world.session


def test_a_session_reads_as_the_golden_file():
    assert '\n'.join([*session(), '']) == GOLDEN.read_text()
