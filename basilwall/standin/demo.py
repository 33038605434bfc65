"""Runs one VM and its stand-ins in one process and sends it requests."""

import http.client
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from http import HTTPStatus
from pathlib import Path

import msgspec

from basilwall.records.ids import Region, Zone
from basilwall.settings.model import Limits, Settings, Stop
from basilwall.standin.deployment import (
    HOST,
    QASR_AL_JAMR,
    make_searchers,
    make_snapshot,
    published_values,
)
from basilwall.standin.platform import PlatformStandIn
from basilwall.standin.ports import reserved_ports
from basilwall.wiring import Vm, running_vm

SERVICE_MS = 5
DEMO_TICKET_KEY = b'only-for-the-demo-0123456789'
QUERY_BODY = b'{"find": "citrus wood", "limit": 3}'
ORDER_BODY = b'{"place": "coconut briquettes", "kilos": 40}'
SERVICE = 'depot-desk'
MS_PER_SECOND = 1000
#: Time within which the VM is to be ready, and the pause between two checks:
#: the VM runs in this process, too.
MAX_START_SECONDS = 10.0
CHECK_PAUSE_SECONDS = 0.01
MAX_FLEET_SIZE = 9

PrintLine = Callable[[str], None]


@contextmanager
def demo_vm(caller_port: int | None = None) -> Iterator[Vm]:
    """Run one VM over stand-ins while the context is open.

    Args:
        caller_port: Port for requests of callers; None takes a free one.
    """
    shape = QASR_AL_JAMR[0]
    searcher_count = shape.instances * shape.searchers
    with ExitStack() as stack:
        first_port = stack.enter_context(reserved_ports(searcher_count + 3))
        port = first_port + searcher_count
        platform_address = f'{HOST}:{port}'
        vm_address = f'{HOST}:{port + 1}'
        key_file = stack.enter_context(_key_file())
        _start_stand_ins(stack, first_port, platform_address, vm_address)
        settings = Settings(
            caller_address=f'{HOST}:{caller_port or port + 2}',
            peer_address=vm_address,
            platform_addresses=[platform_address],
            zone=Zone('amman-a'),
            region=Region('amman'),
            ticket_key_file=key_file,
            limits=Limits(fleet=MAX_FLEET_SIZE),
            stop=Stop(balancer_lag_s=0),
        )
        yield stack.enter_context(running_vm(settings))


@contextmanager
def _key_file() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'ticket.key'
        path.write_bytes(DEMO_TICKET_KEY)
        yield path


def _start_stand_ins(
    stack: ExitStack,
    first_port: int,
    platform_address: str,
    vm_address: str,
) -> None:
    shape = QASR_AL_JAMR[0]
    platform = PlatformStandIn(platform_address)
    platform.start()
    stack.callback(platform.stop)
    values = published_values((shape,), first_port, [vm_address])
    for key, body in values.items():
        platform.publish(key, body)
    snapshot = make_snapshot(shape, first_port, 's1')
    for searcher in make_searchers(shape, snapshot, SERVICE_MS):
        searcher.start()
        stack.callback(searcher.stop)


def run_demo(vm: Vm, print_line: PrintLine) -> None:
    """Send a query and an order, and print the replies.

    Args:
        vm: A running VM.
        print_line: Prints one line.
    """
    address = vm.settings.caller_address
    _wait_until_ready(address)
    print_line(
        f'One VM at http://{address}, ten instances of three searchers each.'
    )
    query = send_request(
        address, 'POST', f'/v1/services/{SERVICE}/query', QUERY_BODY
    )
    print_line(f'A query: {query.status} {query.text}')
    refused = send_request(
        address, 'POST', f'/v1/services/{SERVICE}/orders', ORDER_BODY
    )
    print_line(f'An order without a ticket: {refused.status} {refused.text}')
    ticket = msgspec.json.decode(refused.text)['ticket']
    for name in ('The same order with its ticket', 'Sent again'):
        placed = send_request(
            address,
            'POST',
            f'/v1/services/{SERVICE}/orders',
            ORDER_BODY,
            {'Idempotency-Key': ticket},
        )
        print_line(f'{name}: {placed.status} {placed.text}')


class HttpReply(msgspec.Struct, frozen=True):
    """Status and body of an HTTP response."""

    status: int
    text: str


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
) -> HttpReply:
    """Send one HTTP request on a new connection."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return HttpReply(response.status, response.read().decode())
    finally:
        connection.close()


def _wait_until_ready(address: str) -> None:
    ends_at = time.monotonic() + MAX_START_SECONDS
    while time.monotonic() < ends_at:
        if send_request(address, 'GET', '/readyz').status == HTTPStatus.OK:
            return
        time.sleep(CHECK_PAUSE_SECONDS)
    raise TimeoutError(f'VM at {address} not ready in {MAX_START_SECONDS} s')
