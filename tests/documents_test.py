"""Changes of documents over separate processes, with the platform failing."""

import json
import signal
import time

import grpc

from basilwall.document.keys import document_key
from basilwall.peer.generated import peer_pb2, peer_pb2_grpc
from tests.processes import deployment, http_call, wait_until

#: What the users ask for: in force everywhere within this time, in seconds.
IN_FORCE_WITHIN = 4.0
SERVICE = 'depot-desk'
KEY = document_key(SERVICE)


def document(deadline_ms):
    return json.dumps({'service': SERVICE, 'deadline_ms': deadline_ms}).encode()


def value_at(vm):
    return vm.status()['values'].get(KEY, {'revision': 0})


def revisions(vms):
    return [value_at(vm)['revision'] for vm in vms]


def platform(made, **switches):
    path = '/switches'
    http_call(made.platform, 'PUT', path, json.dumps(switches).encode())


def restart(vm):
    vm.signal(signal.SIGKILL)
    vm.process.wait()
    vm.start()


def test_a_change_is_in_force_everywhere_within_seconds(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=4) as made:
        for round_number in range(3):
            revision = made.publish(KEY, document(70 + round_number))
            wait_until(
                lambda revision=revision: (
                    set(revisions(made.vms)) == {revision}
                ),
                patience=IN_FORCE_WITHIN,
            )
        # Two operators who change it at once: the last revision wins.
        made.publish(KEY, document(91))
        last = made.publish(KEY, document(92))
        wait_until(lambda: set(revisions(made.vms)) == {last}, IN_FORCE_WITHIN)


def test_an_invalid_document_is_refused_everywhere(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=3) as made:
        good = made.publish(KEY, document(70))
        wait_until(lambda: set(revisions(made.vms)) == {good})
        bad = made.publish(KEY, b'{"service": "depot-desk", "deadline": 5}')
        wait_until(
            lambda: all(
                value_at(vm).get('refused_revision') == bad for vm in made.vms
            ),
        )
        platform(made, down=True)
        restart(made.vms[0])
        for vm in made.vms:
            held = value_at(vm)
            assert held['revision'] == good
            assert held['refused_revision'] == bad
            assert 'did you mean "deadline_ms"?' in held['refusal']
        platform(made)
        mended = made.publish(KEY, document(80))
        wait_until(lambda: set(revisions(made.vms)) == {mended})
        assert not any(value_at(vm)['refusal'] for vm in made.vms)


def test_a_vm_that_starts_learns_from_its_peers(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=3) as made:
        revision = made.publish(KEY, document(70))
        wait_until(lambda: set(revisions(made.vms)) == {revision})
        platform(made, down=True)
        restart(made.vms[0])
        assert revisions(made.vms) == [revision] * 3
        reply = made.vms[0].call(f'/v1/services/{SERVICE}/query')
        assert reply.json()['coverage']['complete']
        # It answered out of what its peers know: it never read the platform.
        assert made.vms[0].status()['platform']['age_s'] is None


def test_a_platform_that_goes_back_reverts_nothing(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=2) as made:
        old = made.publish(KEY, document(70))
        wait_until(lambda: set(revisions(made.vms)) == {old})
        new = made.publish(KEY, document(80))
        wait_until(lambda: set(revisions(made.vms)) == {new})
        platform(made, show_up_to=old)
        restart(made.vms[1])
        # The first answer of a VM that is ready counts: it never falls back.
        assert revisions(made.vms) == [new, new]
        report = made.vms[1].status()['platform']
        assert (report['revision'], report['highest']) == (old, new)


def test_bytes_that_are_no_message_disturb_nothing(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=1) as made:
        before = made.vms[0].status()['values']
        with grpc.insecure_channel(made.vms[0].peer) as channel:
            call = channel.unary_unary('/basilwall.peer.v1.Peer/Exchange')
            for junk in (b'\xff' * 100, b'\x0a\xff\xff\xff\xff\x0f', b'junk'):
                try:
                    call(junk, timeout=5)
                except grpc.RpcError as error:
                    assert error.code() is not grpc.StatusCode.UNAVAILABLE
            stub = peer_pb2_grpc.PeerStub(channel)
            stub.Exchange(peer_pb2.ExchangeRequest(), timeout=5)
        assert made.vms[0].status()['values'] == before


def test_a_paused_vm_catches_up(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=2) as made:
        made.vms[0].signal(signal.SIGSTOP)
        first = made.publish(KEY, document(70))
        wait_until(lambda: value_at(made.vms[1])['revision'] == first)
        time.sleep(2)
        second = made.publish(KEY, document(80))
        made.vms[0].signal(signal.SIGCONT)
        wait_until(
            lambda: set(revisions(made.vms)) == {second},
            IN_FORCE_WITHIN,
        )
