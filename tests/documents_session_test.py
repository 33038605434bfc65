"""A whole session of operators and two VMs, compared line by line."""

import json
import signal
from pathlib import Path

from basilwall.document.keys import document_key
from tests.processes import deployment, http_call, wait_until

GOLDEN = Path(__file__).parent / 'golden' / 'documents.txt'
SERVICE = 'depot-desk'
KEY = document_key(SERVICE)
QUERY = f'/v1/services/{SERVICE}/query'
PATIENT = {'Request-Timeout-Ms': '5000'}
STEPS = (
    ('publish', b'{"service": "depot-desk", "deadline_ms": 70}'),
    ('publish', b'{"service": "depot-desk", "deadline": 80}'),
    ('publish', b'{"service": "depot-desk",\n "deadline_ms": 1}'),
    ('publish', b'{"service": "account-view"}'),
    ('platform', {'down': True}),
    ('restart', 0),
    ('platform', {'show_up_to': 9}),
    ('restart', 1),
    ('platform', {}),
    ('publish', b'{"service": "depot-desk", // mended\n "deadline_ms": 90}'),
    ('publish', b''),
    ('publish', b'{"service": "depot-desk"}'),
)


class Session:
    """Runs steps and writes down what each VM then holds."""

    def __init__(self, made):
        self.made, self.lines, self.revision = made, [], 0

    def publish(self, body):
        self.revision = self.made.publish(KEY, body)

    def platform(self, switches):
        body = json.dumps(switches).encode()
        http_call(self.made.platform, 'PUT', '/switches', body)

    def restart(self, number):
        vm = self.made.vms[number]
        vm.signal(signal.SIGKILL)
        vm.process.wait()
        vm.start()

    def step(self, name, argument):
        getattr(self, name)(argument)
        shown = argument.decode() if isinstance(argument, bytes) else argument
        self.lines.append(f'{name} {shown!r}')
        for number, vm in enumerate(self.made.vms):
            wait_until(lambda vm=vm: self.knows_newest(vm))
            held = vm.status()['values'][KEY]
            status = vm.call(QUERY, headers=PATIENT).status
            self.lines.append(
                f'  vm {number}: revision {held["revision"]} in force,'
                f' query {status}, refused {held["refused_revision"]}'
                f' {held["refusal"]!r}',
            )

    def knows_newest(self, vm):
        held = vm.status()['values'].get(KEY, {})
        newest = max(held.get('revision', 0), held.get('refused_revision', 0))
        return newest >= self.revision


def test_the_session_is_as_recorded(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=2) as made:
        session = Session(made)
        for name, argument in STEPS:
            session.step(name, argument)
    recorded = GOLDEN.read_text().splitlines()
    assert session.lines == recorded
