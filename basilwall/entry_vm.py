"""The composition root of an entry VM on the users' platform.

All components are created here and get their dependencies as arguments. Only
modules that the entry VM uses are imported, because memory is scarce on these
VMs.
"""

import gc
import logging
import os
import random
import sys
import threading
import uuid
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from functools import partial

from basilwall.configuration.platform_watch import (
    PlatformWatch,
    WatchIntervals,
)
from basilwall.configuration.transfer_progress import TransferProgress
from basilwall.entry_serving import Serving, build_serving
from basilwall.fleet.catch_up import CatchUp
from basilwall.fleet.change_client import ChangeClient
from basilwall.fleet.change_server import ChangeServer
from basilwall.fleet.changes import CHANGES_PATH
from basilwall.fleet.entry_fleet import Fleet
from basilwall.fleet.gossip import EXCHANGE_PATH, HttpGossip
from basilwall.fleet.gossip_messages import GossipMessages
from basilwall.fleet.relayed_reader import RelayedReader, StoreFreshness
from basilwall.fleet.value_versions import large_values
from basilwall.forwarding.reporting import RequestReporter
from basilwall.ingress.server import StopState, ingress_server
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
from basilwall.parts.quarantine import Quarantine, count_quarantined
from basilwall.parts.revisions import RevisionRegister
from basilwall.parts.stop_signals import set_on_stop_signals
from basilwall.parts.strike_memory import StrikeMemory
from basilwall.parts.tasks import TaskGroup, task_group
from basilwall.platform.codec import StoreValueReader
from basilwall.platform.node import read_node_file, settings_path
from basilwall.platform.store import HttpStoreClient
from basilwall.records.ids import Incarnation
from basilwall.routing.routing_state import RoutingState, ValueReader
from basilwall.settings.current import CurrentSettings, SettingsError
from basilwall.settings.entry import EntrySettings

#: Lower bound of the time between two watches that returned changes: changes
#: come in groups, and each call to the store is charged for.
MIN_WATCH_INTERVAL_SECONDS = 0.3
#: Time after the first listing in which a VM learns of the others, so that it
#: can get further changes from them.
FIRST_WATCH_INTERVAL_SECONDS = 1.0
#: How long the store holds a watch. The short one is used if VMs may learn of
#: changes from each other: a VM must then notice soon that it lost the store.
LONG_WATCH_SECONDS = 4.0
SHORT_WATCH_SECONDS = 2.0
#: A change that is relayed by other VMs is in force within this time, even if
#: the relaying VM has lost the store.
MAX_RELAY_DELAY_SECONDS = 4.5
#: An outage takes its searchers within this time.
OUTAGE_MOMENT_SECONDS = 1.0
THREAD_STACK_BYTES = 262_144
THREAD_SWITCH_INTERVAL_SECONDS = 0.0005
HTTP_OK = 200
HTTP_UNAVAILABLE = 503

_log = logging.getLogger(__name__)


@contextmanager
def running_entry(current: CurrentSettings) -> Iterator[EntryVm]:
    """Run an entry VM for the length of a block.

    Args:
        current: The settings that the platform gives this VM.

    Yields:
        The running VM.

    Raises:
        OSError: If an address can't be bound.
    """
    settings = current.value
    clock, rng = BootClock(), random.Random()
    value_reader = StoreValueReader()
    routing_state = RoutingState(value_reader, clock)
    with ExitStack() as stack:
        tasks = stack.enter_context(task_group('task'))
        fleet = _build_fleet(settings, tasks, clock, rng)
        store_access = _build_store_access(
            settings, routing_state, value_reader, fleet, clock, rng
        )
        metrics = PrometheusMetrics()
        store_age = store_access.freshness.age_seconds
        reporting = RequestReporter(metrics, clock.monotonic, store_age)
        serving = build_serving(
            current, routing_state, fleet, reporting, clock, rng
        )
        _register_gauges(metrics, serving, fleet, store_access, routing_state)
        tasks.start_loop(fleet.gossip.run)
        tasks.start_loop(partial(store_access.watch.run, tasks.stopping))
        tasks.start_loop(partial(store_access.catch_up.run, tasks.stopping))
        stop_state = serving.callers.stop_state
        ready = partial(_readiness, routing_state, stop_state)
        endpoints_by_address: dict[str, Endpoints] = {
            settings.metrics_address: {FALLBACK_PATH: metrics.scrape},
            settings.readiness_address: {FALLBACK_PATH: ready},
            settings.peer_address: {
                EXCHANGE_PATH: fleet.gossip.answer,
                CHANGES_PATH: store_access.changes.answer,
            },
        }
        # First, so that a VM that says that it is ready accepts callers.
        acceptors = tuple(
            stack.enter_context(ingress_server(*served, tasks))
            for served in (
                (serving.callers, settings.caller_address),
                (serving.vms, settings.relay_address),
            )
        )
        for address, endpoints in endpoints_by_address.items():
            stack.enter_context(endpoint_server(address, endpoints))
        stack.callback(tasks.stopping.set)
        yield EntryVm(
            current,
            routing_state,
            serving.callers,
            acceptors,
            fleet,
            serving.reply_memory,
            clock,
        )


def main() -> None:
    """Run the entry VM of this process until SIGTERM."""
    stop_requested = threading.Event()
    threading.stack_size(THREAD_STACK_BYTES)
    set_on_stop_signals(stop_requested)
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_SECONDS)
    with logging_to_stdout('INFO') as logs:
        try:
            current = CurrentSettings(settings_path(), read_node_file)
            _serve(current, stop_requested, logs)
        except (SettingsError, OSError) as error:
            _log.critical('not started', extra={'error': str(error)})
            sys.exit(1)


def _serve(
    current: CurrentSettings,
    stop_requested: threading.Event,
    logs: LogWriter,
) -> None:
    if stop_requested.is_set():
        return
    with running_entry(current) as vm:
        gc.freeze()
        _log.info('started', extra={'vm': current.value.name})
        stop_requested.wait()
        is_complete = vm.stop()
        # The other tasks are blocked on the store or on VMs for seconds more;
        # their results are not needed, and the platform would kill the
        # process meanwhile.
        logs.close()
        os._exit(0 if is_complete else 1)


@dataclass(frozen=True, slots=True)
class StoreAccess:
    """Reads the store, directly or through other VMs, and relays changes."""

    store: HttpStoreClient
    watch: PlatformWatch
    freshness: StoreFreshness
    changes: ChangeServer
    catch_up: CatchUp


def _build_store_access(
    settings: EntrySettings,
    routing_state: RoutingState,
    value_reader: ValueReader,
    fleet: Fleet,
    clock: Clock,
    rng: random.Random,
) -> StoreAccess:
    register = RevisionRegister(
        routing_state.accept,
        settings.max_value_bytes,
        value_reader.is_used_key,
    )
    may_relay = _may_relay(settings)
    watch_seconds = SHORT_WATCH_SECONDS if may_relay else LONG_WATCH_SECONDS
    progress = TransferProgress(clock)
    store = HttpStoreClient(
        settings.store_address, watch_seconds, progress, clock, rng
    )
    client = ChangeClient(
        partial(large_values, register),
        max_value_bytes=settings.max_value_bytes,
    )
    reader = RelayedReader(
        store, fleet.membership, settings.place, clock, may_relay, client
    )
    watch = PlatformWatch(
        reader,
        register,
        clock,
        rng,
        intervals=WatchIntervals(
            FIRST_WATCH_INTERVAL_SECONDS
            if may_relay
            else MIN_WATCH_INTERVAL_SECONDS,
            MIN_WATCH_INTERVAL_SECONDS,
        ),
    )
    freshness = StoreFreshness(watch, reader, clock, progress)
    routing_state.removals_held_until = freshness.removals_held_until
    changes = ChangeServer(
        register,
        watch,
        freshness,
        clock,
        lambda: reader.is_reader,
    )
    register.subscribe(changes.note_change)
    watch.on_revision = changes.notify_waiting
    catch_up = CatchUp(watch, reader, client, fleet.tasks, clock)
    fleet.gossip.messages.own_revision = catch_up.own_revision
    fleet.gossip.messages.record_peer_revision = catch_up.record_peer_revision
    return StoreAccess(store, watch, freshness, changes, catch_up)


def _build_fleet(
    settings: EntrySettings,
    tasks: TaskGroup,
    clock: Clock,
    rng: random.Random,
) -> Fleet:
    incarnation = Incarnation(uuid.uuid4().hex)
    own = Member(
        settings.peer_address,
        incarnation,
        settings.place.zone,
        relay_address=settings.relay_address,
        link_mbps=settings.link_mbps,
    )
    membership = Membership(own, clock, settings.seeds)
    quarantine = Quarantine(
        clock,
        moment_seconds=OUTAGE_MOMENT_SECONDS,
        memory=StrikeMemory(clock),
    )
    messages = GossipMessages(membership, quarantine, rng)
    gossip = HttpGossip(messages, tasks, rng)
    return Fleet(membership, quarantine, gossip, tasks)


def _may_relay(settings: EntrySettings) -> bool:
    """Return whether the bounds leave time to learn of changes from VMs."""
    bounds = settings.bounds
    return (
        min(bounds.drain_limit, bounds.document_limit)
        >= MAX_RELAY_DELAY_SECONDS
    )


def _readiness(
    routing_state: RoutingState,
    stop_state: StopState,
    _: bytes,
) -> tuple[int, bytes]:
    if stop_state.is_stopping:
        return HTTP_UNAVAILABLE, b'stopping\n'
    if routing_state.table is None:
        return HTTP_UNAVAILABLE, b'no route table yet\n'
    return HTTP_OK, b'ready\n'


def _register_gauges(
    metrics: PrometheusMetrics,
    serving: Serving,
    fleet: Fleet,
    store_access: StoreAccess,
    routing_state: RoutingState,
) -> None:
    connections, links = serving.callers.connections, serving.links
    add = metrics.add_gauge
    add('callers', 'Open connections of callers.', lambda: len(connections))
    add('fleet', 'VMs that caps are shared by.', fleet.size)
    _register_store_gauges(metrics, store_access, routing_state)
    add(
        'limited_searchers',
        'Searchers that name a limit on the rate of requests.',
        serving.rate_limiter.limits.count,
    )
    add(
        'searcher_links_lost',
        '1 while this VM reaches no searcher, else 0.',
        lambda: links.are_lost,
    )
    add(
        'suspected_contents',
        'Request contents under which a searcher died lately.',
        lambda: len(fleet.quarantine.entries()),
    )
    add(
        'quarantined_contents',
        'Request contents that are refused, as they crash searchers.',
        partial(count_quarantined, fleet.quarantine),
    )
    add(
        'strikes_known_seconds',
        'For how long all strikes against request contents are known here.',
        lambda: fleet.quarantine.memory.seconds,
    )
    add(
        'reply_memory_bytes',
        'Memory of replies, until their callers have them.',
        lambda: serving.reply_memory.used,
    )
    add(
        'replies_too_large',
        'Replies that were ended for their size since the start.',
        lambda: serving.reply_memory.rejected,
    )
    add(
        'searcher_reply_age_seconds',
        'Time since a searcher last replied.',
        links.reply_age_seconds,
    )


def _register_store_gauges(
    metrics: PrometheusMetrics,
    store_access: StoreAccess,
    routing_state: RoutingState,
) -> None:
    add = metrics.add_gauge
    add(
        'store_failures',
        'Failed reads of the store in a row.',
        lambda: store_access.watch.health.failures,
    )
    add(
        'store_unusable',
        'Items and epochs of the store that could not be used since the start.',
        lambda: store_access.store.unusable_count,
    )
    add(
        'store_calls',
        'Calls to the store since the start.',
        lambda: store_access.store.call_count,
    )
    add(
        'store_age_seconds',
        'Age of what this VM knows of the store.',
        store_access.freshness.age_seconds,
    )
    add(
        'store_behind_seconds',
        'Time for which another VM has known changes unknown here.',
        store_access.catch_up.behind_seconds,
    )
    add(
        'relayed_bytes',
        'Bytes of changes sent to other VMs since the start.',
        lambda: store_access.changes.sent_bytes,
    )
    add(
        'route_table_version',
        'Version of the route table in force, 0 for none.',
        lambda: routing_state.table.version if routing_state.table else 0,
    )
