"""The composition root of an entry VM on the users' platform.

Every part is made here and nowhere else, and each is handed what it needs.
It imports only what this program runs with: memory is dear on these VMs.
"""

import gc
import logging
import os
import random
import signal
import sys
import threading
import uuid
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from functools import partial

from basilwall.backend.loss_classifier import LossClassifier
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.fleet.entry_fleet import Fleet
from basilwall.fleet.gossip import EXCHANGE_PATH, HttpGossip
from basilwall.fleet.gossip_messages import GossipMessages
from basilwall.fleet.store_relay import (
    CHANGES_PATH,
    ChangeServer,
    RelayedReader,
    StoreFreshness,
)
from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.connection_pools import ConnectionPools
from basilwall.forwarding.context import ForwardingContext
from basilwall.forwarding.crash_detection import ProbingCrashDetector
from basilwall.forwarding.forwarder import Forwarder
from basilwall.forwarding.reporting import RequestReporter
from basilwall.forwarding.retry_policy import RetryPolicy
from basilwall.forwarding.socket_transport import SocketTransport
from basilwall.ingress.server import Ingress, StopState, ingress_server
from basilwall.ingress.vm import EntryVm
from basilwall.operators.endpoints import (
    FALLBACK_PATH,
    Endpoints,
    endpoint_server,
)
from basilwall.operators.log_queue import LogWriter, logging_to_stdout
from basilwall.operators.prometheus_metrics import PrometheusMetrics
from basilwall.parts.clock import BootClock, Clock
from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.revisions import RevisionRegister
from basilwall.parts.tasks import TaskGroup, task_group
from basilwall.platform.codec import HeaderCodec, StoreValueReader
from basilwall.platform.node import read_node_file, settings_path
from basilwall.platform.store import HttpStoreClient
from basilwall.records.ids import Incarnation
from basilwall.records.routes import CallerLimits
from basilwall.routing.location import RoundTripTimes
from basilwall.routing.routing_state import RoutingState
from basilwall.routing.selection import SearcherSelector
from basilwall.settings.current import CurrentSettings, SettingsError
from basilwall.settings.entry import EntrySettings

#: Time between two watches that returned changes, in seconds: changes come in
#: groups, and each call to the store is paid for.
MIN_WATCH_INTERVAL_SECONDS = 0.3
#: How long the store holds a watch, in seconds; shorter if other VMs rely on
#: this one, which must notice soon that it is cut off.
LONG_WATCH_SECONDS = 4.0
SHORT_WATCH_SECONDS = 2.0
#: A change that others told is in force within this time, in seconds, also if
#: the VM that was to tell it is cut off from the store.
MAX_RELAY_DELAY_SECONDS = 4.5
#: Memory of one caller's connection at its worst, in MB.
CONNECTION_MEMORY_MB = 0.3
#: Descriptors kept for anything but connections.
SPARE_DESCRIPTORS = 400
THREAD_STACK_BYTES = 262_144
THREAD_SWITCH_INTERVAL_SECONDS = 0.0005
HOUSEKEEPING_INTERVAL_SECONDS = 0.5
HTTP_OK = 200
HTTP_UNAVAILABLE = 503

_log = logging.getLogger(__name__)


@contextmanager
def running_entry(current: CurrentSettings) -> Iterator[EntryVm]:
    """Run an entry VM for the length of a block.

    Args:
        current: What the platform says of this VM.

    Yields:
        The running VM.

    Raises:
        OSError: If an address can't be bound.
    """
    settings = current.value
    clock, rng = BootClock(), random.Random()
    deployment = RoutingState(StoreValueReader(), clock)
    with ExitStack() as stack:
        tasks = stack.enter_context(task_group('task'))
        fleet = _fleet(settings, tasks, clock, rng)
        store_access = _store_access(settings, deployment, fleet, clock, rng)
        metrics = PrometheusMetrics()
        age = store_access.knowledge.age_seconds
        reporting = RequestReporter(metrics, clock.monotonic, age)
        ingress = _ingress(current, deployment, fleet, reporting, rng)
        _register_gauges(metrics, ingress, fleet, store_access)
        tasks.start(fleet.gossip.run)
        tasks.start(partial(store_access.watch.run, tasks.stopping))
        ready = partial(_readiness, deployment, ingress.stop_state)
        pages_by_address: dict[str, Endpoints] = {
            settings.metrics_address: {FALLBACK_PATH: metrics.scrape},
            settings.readiness_address: {FALLBACK_PATH: ready},
            settings.peer_address: {
                EXCHANGE_PATH: fleet.gossip.answer,
                CHANGES_PATH: store_access.changes.answer,
            },
        }
        for address, pages in pages_by_address.items():
            stack.enter_context(endpoint_server(address, pages))
        listening = stack.enter_context(
            ingress_server(ingress, settings.caller_address, tasks),
        )
        stack.callback(tasks.stopping.set)
        yield EntryVm(
            current,
            deployment,
            ingress,
            listening,
            fleet,
            clock,
        )


def main() -> None:
    """Run the entry VM of this process until SIGTERM."""
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    signal.signal(signal.SIGHUP, lambda *_: None)
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_SECONDS)
    with logging_to_stdout('INFO') as logs:
        try:
            current = CurrentSettings(settings_path(), read_node_file)
            _serve(current, stopping, logs)
        except (SettingsError, OSError) as error:
            _log.critical('not started', extra={'error': str(error)})
            sys.exit(1)


def _serve(
    current: CurrentSettings,
    stopping: threading.Event,
    logs: LogWriter,
) -> None:
    with running_entry(current) as vm:
        gc.freeze()
        _log.info('started', extra={'vm': current.value.name})
        stopping.wait()
        is_whole = vm.stop()
        # Other tasks wait for the store or for VMs, seconds yet, for nothing
        # that is of use now; the platform would kill the process meanwhile.
        logs.close()
        os._exit(0 if is_whole else 1)


@dataclass(frozen=True, slots=True)
class StoreAccess:
    """What reads the store, here or through other VMs, and passes it on."""

    store: HttpStoreClient
    watch: PlatformWatch
    knowledge: StoreFreshness
    changes: ChangeServer


def _store_access(
    settings: EntrySettings,
    deployment: RoutingState,
    fleet: Fleet,
    clock: Clock,
    rng: random.Random,
) -> StoreAccess:
    register = RevisionRegister(deployment.accept)
    may_ask = _may_ask(settings)
    wait = SHORT_WATCH_SECONDS if may_ask else LONG_WATCH_SECONDS
    store = HttpStoreClient(settings.store_address, wait)
    reader = RelayedReader(store, fleet.membership, clock, may_ask)
    watch = PlatformWatch(
        reader,
        register,
        clock,
        rng,
        min_interval_seconds=MIN_WATCH_INTERVAL_SECONDS,
    )
    knowledge = StoreFreshness(watch, reader, clock)
    deployment.removals_held_until = knowledge.removals_held_until
    changes = ChangeServer(
        register,
        watch,
        knowledge,
        clock,
        lambda: reader.is_reader,
    )
    register.subscribe(changes.notify_change)
    return StoreAccess(store, watch, knowledge, changes)


def _fleet(
    settings: EntrySettings,
    tasks: TaskGroup,
    clock: Clock,
    rng: random.Random,
) -> Fleet:
    incarnation = Incarnation(uuid.uuid4().hex)
    own = Member(settings.peer_address, incarnation, settings.place.zone)
    membership = Membership(own, clock, settings.seeds)
    quarantine = Quarantine(clock)
    tellings = GossipMessages(membership, quarantine, rng)
    links = HttpGossip(tellings, tasks, rng)
    return Fleet(membership, quarantine, links, tasks)


def _crash_watch(
    deployment: RoutingState,
    fleet: Fleet,
    clock: Clock,
    rng: random.Random,
) -> ProbingCrashDetector:
    crashes = ProbingCrashDetector(
        fleet.quarantine,
        LossClassifier(deployment.all_addresses, clock, rng),
        fleet.tasks,
        fleet.membership.own.incarnation,
    )
    crashes.on_change = fleet.gossip.push_to_peers
    return crashes


def _ingress(
    current: CurrentSettings,
    deployment: RoutingState,
    fleet: Fleet,
    reporting: RequestReporter,
    rng: random.Random,
) -> Ingress:
    settings, clock, tasks = current.value, BootClock(), fleet.tasks
    codec = HeaderCodec()
    trips = RoundTripTimes(settings.place)
    pools = ConnectionPools(
        deployment,
        trips,
        clock,
        fleet.size,
        lambda searcher: SearcherConnection(searcher, clock),
    )
    placing = SearcherSelector(deployment, trips, pools, clock, rng)
    deployment.subscribe(pools.drop_unlisted)
    deployment.subscribe(placing.forget_unlisted)
    transport = SocketTransport(deployment, placing, pools, codec, clock)
    policy = RetryPolicy(lambda: current.value.bounds, fleet.size, clock)
    senders = ForwardingContext(
        deployment,
        placing,
        transport,
        policy,
        _crash_watch(deployment, fleet, clock, rng),
        clock,
    )
    tasks.start(partial(transport.superseded.run, tasks.stopping))
    tasks.start(partial(_run_housekeeping, pools, policy, current, fleet))
    return Ingress(
        Forwarder(senders, reporting, rng),
        codec,
        partial(_caller_limits, deployment),
        clock,
        _max_connections(settings),
    )


def _may_ask(settings: EntrySettings) -> bool:
    """Return whether the bounds leave time to hear of changes from others."""
    bounds = settings.bounds
    return (
        min(bounds.drain_limit, bounds.document_limit)
        >= MAX_RELAY_DELAY_SECONDS
    )


def _max_connections(settings: EntrySettings) -> int:
    by_memory = int(settings.memory_mb / 2 / CONNECTION_MEMORY_MB)
    by_descriptors = (settings.descriptors - SPARE_DESCRIPTORS) // 2
    return max(min(by_memory, by_descriptors), 1)


def _caller_limits(deployment: RoutingState) -> CallerLimits:
    table = deployment.table
    return table.limits if table else CallerLimits()


def _readiness(
    deployment: RoutingState,
    stop: StopState,
    _: bytes,
) -> tuple[int, bytes]:
    if stop.is_stopping:
        return HTTP_UNAVAILABLE, b'stopping\n'
    if deployment.table is None:
        return HTTP_UNAVAILABLE, b'no route table yet\n'
    return HTTP_OK, b'ready\n'


def _register_gauges(
    metrics: PrometheusMetrics,
    ingress: Ingress,
    fleet: Fleet,
    store_access: StoreAccess,
) -> None:
    connections = ingress.connections
    add = metrics.add_gauge
    add('callers', 'Open connections of callers.', lambda: len(connections))
    add('fleet', 'VMs that caps are shared by.', fleet.size)
    add(
        'store_failures',
        'Failed reads of the store in a row.',
        lambda: store_access.watch.health.failures,
    )
    add(
        'store_calls',
        'Calls to the store since the start.',
        lambda: store_access.store.call_count,
    )


def _run_housekeeping(
    pools: ConnectionPools[SearcherConnection],
    policy: RetryPolicy,
    current: CurrentSettings,
    fleet: Fleet,
) -> None:
    while not fleet.tasks.stopping.wait(HOUSEKEEPING_INTERVAL_SECONDS):
        pools.close_idle()
        if current.reload_if_changed():
            fleet.membership.update_seeds(current.value.seeds)
        fleet.update_size()
        policy.update_fleet_size()


if __name__ == '__main__':
    main()
