"""The composition root: creates the components of one VM from its settings.

All components are created here and get their dependencies as arguments.
"""

import random
import uuid
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from functools import partial

from statsd import StatsClient

from basilwall.backend.crash_tracker import CrashTracker
from basilwall.backend.loss_classifier import LossClassifier
from basilwall.backend.pools import SearcherPools
from basilwall.backend.restart_detector import RestartDetector
from basilwall.caller.admission import Admission
from basilwall.caller.app import CallerApp
from basilwall.caller.planned_stop import PlannedStop
from basilwall.caller.server import ListenConfig, caller_server
from basilwall.caller.service import CallerService
from basilwall.configuration.initial_sync import wait_for_initial_sync
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.configuration.readers import is_platform_reader
from basilwall.configuration.service_client import HttpPlatformReader
from basilwall.configuration.state import PlatformState
from basilwall.document.keys import CATALOGUE_PREFIX, FLEET_KEY, KEY_PREFIX
from basilwall.operators.metrics import Metrics
from basilwall.operators.platform_reporting import PlatformReporter
from basilwall.operators.reporting import StatusReporter
from basilwall.order.dispatch import OrderDispatcher
from basilwall.order.handler import OrderHandler
from basilwall.parts.attempt_ids import AttemptIds
from basilwall.parts.clock import Clock, SystemClock
from basilwall.parts.handovers import Handovers
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.membership import Member, Membership
from basilwall.parts.pause_detector import PauseDetector
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.revisions import RevisionRegister
from basilwall.parts.served_snapshots import ServedSnapshots
from basilwall.parts.tasks import TaskGroup, task_group
from basilwall.parts.ticket_issuer import TicketIssuer
from basilwall.parts.tickets import TicketTable
from basilwall.peer.client import GrpcForwarder, PeerClients
from basilwall.peer.gossip import GossipProtocol
from basilwall.peer.handover_sender import HandoverSender
from basilwall.peer.links import PeerLinks
from basilwall.peer.server import PeerService, peer_server
from basilwall.query.pinning import Pinning
from basilwall.query.policy import Policies
from basilwall.query.runner import QueryRunner
from basilwall.query.sending import Backends
from basilwall.records.catalogue import Catalogue, PublishedValue, VmState
from basilwall.records.ids import Incarnation, ServiceName, VmAddress
from basilwall.settings.model import Settings
from basilwall.settings.ticket_key import read_ticket_key


@dataclass(frozen=True, slots=True)
class Core:
    """The components of a VM that are independent of its protocols."""

    settings: Settings
    clock: Clock
    state: PlatformState
    register: RevisionRegister
    leaving_searchers: LeavingSearchers
    quarantine: Quarantine
    membership: Membership
    handovers: Handovers
    metrics: Metrics
    admission: Admission
    attempt_ids: AttemptIds
    pause_detector: PauseDetector
    watches: list[PlatformWatch]


@dataclass(frozen=True, slots=True)
class Vm:
    """One running VM and its planned stop."""

    settings: Settings
    planned_stop: PlannedStop


@contextmanager
def running_vm(settings: Settings) -> Iterator[Vm]:
    """Run one VM for the length of a block.

    Args:
        settings: The validated settings.

    Yields:
        The running VM.

    Raises:
        KeyFileError: If the ticket key can't be read or is too short.
        OSError: If an address cannot be bound.
    """
    rng = random.Random()
    core = _build_core(settings)
    with ExitStack() as stack:
        tasks = stack.enter_context(task_group('task'))
        clients = PeerClients()
        stack.callback(clients.close)
        pools = SearcherPools(
            tasks,
            core.clock,
            core.leaving_searchers,
            settings.limits.fleet,
            rng,
        )
        stack.callback(pools.close)
        crash_tracker = CrashTracker(
            core.quarantine,
            LossClassifier(core.state.searchers, core.clock, rng),
            tasks,
            core.clock,
            core.membership.own.incarnation,
        )
        order_handler = _build_order_handler(
            core, pools, clients, crash_tracker, rng
        )
        service = _build_caller_service(
            core, pools, order_handler, crash_tracker
        )
        gossip = GossipProtocol(
            core.register,
            core.leaving_searchers,
            core.quarantine,
            core.membership,
            rng,
        )
        links = PeerLinks(
            gossip,
            clients,
            tasks,
            rng,
            core.pause_detector.record_read,
        )
        crash_tracker.on_change = links.notify_peers
        _subscribe_to_register(core, pools, links)
        peers = PeerService(gossip, order_handler, core.handovers, core.clock)
        peer_listen = settings.peer_listen_address or settings.peer_address
        stack.enter_context(peer_server(peers, peer_listen))
        tasks.start_loop(links.run)
        _start_watches(core, tasks, links)
        server = stack.enter_context(
            caller_server(CallerApp(service), _listen_config(settings)),
        )
        stack.callback(tasks.stopping.set)
        handover_sender = HandoverSender(
            core.membership,
            order_handler.table,
            core.handovers,
            clients,
            core.clock,
        )
        yield Vm(
            settings,
            PlannedStop(
                settings.stop,
                core.clock,
                core.admission,
                server,
                partial(_announce_stop, service, core.membership, links),
                partial(handover_sender.run, settings.ticket_lifetime_s),
            ),
        )


def _announce_stop(
    service: CallerService, membership: Membership, links: PeerLinks
) -> None:
    service.is_stopping = True
    membership.announce_leaving()
    links.notify_peers()


def _build_core(settings: Settings) -> Core:
    clock = SystemClock()
    state = PlatformState()
    register = RevisionRegister(state.apply)
    pause_detector = PauseDetector(clock)
    own = Member(
        settings.vm,
        Incarnation(uuid.uuid4().hex),
        settings.zone,
    )
    seeds = [VmAddress(address) for address in settings.seeds]
    membership = Membership(own, clock, seeds)

    def is_reader() -> bool:
        return (
            is_platform_reader(own, state.fleet)
            or not membership.live_members()
        )

    return Core(
        settings=settings,
        clock=clock,
        state=state,
        register=register,
        leaving_searchers=LeavingSearchers(clock, own.incarnation),
        quarantine=Quarantine(clock, settings.limits.quarantine_entries),
        membership=membership,
        handovers=Handovers(clock),
        metrics=Metrics(_statsd_client(settings)),
        admission=Admission(settings.limits.requests_in_flight, clock),
        attempt_ids=AttemptIds(own.incarnation),
        pause_detector=pause_detector,
        watches=[
            PlatformWatch(
                HttpPlatformReader(address, KEY_PREFIX, clock, random.Random()),
                register,
                clock,
                random.Random(),
                is_reader,
                pause_detector.record_read,
            )
            for address in settings.platform_addresses
        ],
    )


def _build_order_handler(
    core: Core,
    pools: SearcherPools,
    clients: PeerClients,
    crash_tracker: CrashTracker,
    rng: random.Random,
) -> OrderHandler:
    settings = core.settings
    own = core.membership.own
    ticket_issuer = TicketIssuer(
        own.address,
        own.incarnation,
        read_ticket_key(settings.ticket_key_file),
        core.clock,
        settings.ticket_lifetime_s,
    )
    return OrderHandler(
        ticket_issuer,
        TicketTable(ticket_issuer, core.clock, settings.limits.tickets),
        OrderDispatcher(
            core.state,
            pools,
            crash_tracker,
            core.attempt_ids,
            core.clock,
            core.pause_detector.is_fresh,
        ),
        GrpcForwarder(clients, core.membership, core.clock),
        core.handovers,
        core.clock,
        rng,
    )


def _build_query_runner(
    core: Core,
    pools: SearcherPools,
    crash_tracker: CrashTracker,
) -> QueryRunner:
    served_snapshots = ServedSnapshots(core.clock)
    return QueryRunner(
        Pinning(core.state, pools, core.leaving_searchers, served_snapshots),
        Policies(),
        Backends(
            pools,
            served_snapshots,
            core.attempt_ids,
            core.clock,
        ),
        crash_tracker,
    )


def _build_caller_service(
    core: Core,
    pools: SearcherPools,
    order_handler: OrderHandler,
    crash_tracker: CrashTracker,
) -> CallerService:
    query_runner = _build_query_runner(core, pools, crash_tracker)
    reporter = StatusReporter(
        PlatformReporter(core.register, core.watches, core.clock),
        core.membership,
        core.leaving_searchers,
        core.quarantine,
        core.metrics,
        core.admission,
        order_handler.table,
    )
    return CallerService(
        core.state,
        core.admission,
        query_runner,
        order_handler,
        core.metrics,
        reporter.report,
        core.clock,
    )


def _subscribe_to_register(
    core: Core,
    pools: SearcherPools,
    links: PeerLinks,
) -> None:
    def apply_published(published: PublishedValue) -> None:
        key = published.key
        if key.startswith(CATALOGUE_PREFIX):
            service = ServiceName(key.removeprefix(CATALOGUE_PREFIX))
            empty_catalogue = Catalogue(service, ())
            by_service = core.state.catalogue_by_service
            pools.apply_catalogue(by_service.get(service, empty_catalogue))
        elif key == FLEET_KEY:
            _apply_fleet(core)
            links.reconcile_soon()
        links.notify_peers(key)

    core.register.subscribe(apply_published)
    core.leaving_searchers.subscribe(links.notify_peers)


def _apply_fleet(core: Core) -> None:
    fleet = core.state.fleet
    core.membership.update_listed(
        {vm.address for vm in fleet.vms if vm.state is VmState.LIVE},
    )
    core.leaving_searchers.update_listed(fleet.leaving_searchers)


def _start_watches(core: Core, tasks: TaskGroup, links: PeerLinks) -> None:
    for watch in core.watches:
        tasks.start_loop(partial(watch.run, tasks.stopping))
    first_reads = [
        platform_watch.health.first_read for platform_watch in core.watches
    ]
    tasks.start_loop(lambda: core.pause_detector.run(tasks.stopping))
    restart_detector = RestartDetector(core.leaving_searchers)
    tasks.start_loop(lambda: restart_detector.run(tasks.stopping))
    tasks.start(
        lambda: wait_for_initial_sync(
            core.state, links.has_tried_all_peers, first_reads, tasks.stopping
        ),
    )


def _listen_config(settings: Settings) -> ListenConfig:
    return ListenConfig(
        settings.caller_address,
        settings.limits.requests_in_flight,
        settings.limits.body_bytes,
    )


def _statsd_client(settings: Settings) -> StatsClient | None:
    if settings.statsd_address is None:
        return None
    host, _, port = settings.statsd_address.rpartition(':')
    return StatsClient(host, int(port), prefix='basilwall')
