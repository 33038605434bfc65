"""The composition root: builds one VM from its settings.

Every part is made here and nowhere else, and each is handed what it needs.
"""

import logging
import random
import threading
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
from basilwall.caller.server import CallerServer, ListenConfig, caller_server
from basilwall.caller.service import CallerService
from basilwall.configuration.client import HttpPlatformReader
from basilwall.configuration.initial_sync import wait_for_initial_sync
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.configuration.readers import is_platform_reader
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

MIN_KEY_BYTES = 16
#: Time for the last replies if the limit of the stop is used up, in seconds.
MIN_REPLY_SECONDS = 1.0

_log = logging.getLogger(__name__)


class KeyFileError(Exception):
    """The ticket key file cannot be used."""


@dataclass(frozen=True, slots=True)
class Core:
    """The parts of a VM that know no protocol."""

    settings: Settings
    clock: Clock
    state: PlatformState
    register: RevisionRegister
    departures: LeavingSearchers
    quarantine: Quarantine
    membership: Membership
    handovers: Handovers
    metrics: Metrics
    admission: Admission
    attempt_ids: AttemptIds
    pauses: PauseDetector
    watches: list[PlatformWatch]


class Vm:
    """One running VM and its planned stop."""

    def __init__(
        self,
        core: Core,
        service: CallerService,
        server: CallerServer,
        desk: OrderHandler,
        clients: PeerClients,
        links: PeerLinks,
    ) -> None:
        self.core = core
        self._service = service
        self._server = server
        self._links = links
        self._handing_over = HandoverSender(
            core.membership,
            desk.table,
            core.handovers,
            clients,
            core.clock,
        )

    def stop(self, hurry: threading.Event) -> bool:
        """Stop by plan: finish what is in flight and answer for tickets.

        Args:
            hurry: Set to skip the wait for the balancer.

        Returns:
            False if something was cut off at the limit.
        """
        stop = self.core.settings.stop
        self._service.is_stopping = True
        self.core.membership.announce_leaving()
        self._links.notify_peers()
        hurry.wait(stop.balancer_lag_s)
        end = self.core.clock.monotonic() + stop.limit_s
        self.core.admission.wait_idle(stop.limit_s)
        self._handing_over.run(
            self.core.settings.ticket_lifetime_s,
            max(end - self.core.clock.monotonic(), 0),
        )
        # Callers came in during the handover too.
        left = max(end - self.core.clock.monotonic(), MIN_REPLY_SECONDS)
        idle = self.core.admission.wait_idle(left)
        flushed = self._server.wait_flushed(left)
        if not (idle and flushed):
            _log.error('requests cut off at the limit of the stop')
        return idle and flushed


@contextmanager
def running_vm(settings: Settings) -> Iterator[Vm]:
    """Run one VM for the length of a block.

    Args:
        settings: The checked settings.

    Yields:
        The running VM.

    Raises:
        KeyFileError: If the ticket key can't be read.
        OSError: If an address cannot be bound.
    """
    rng = random.Random()
    core = _core(settings)
    with ExitStack() as stack:
        tasks = stack.enter_context(task_group('task'))
        clients = PeerClients()
        stack.callback(clients.close)
        pools = SearcherPools(
            tasks,
            core.clock,
            core.departures,
            settings.limits.fleet,
            rng,
        )
        stack.callback(pools.close)
        suspects = CrashTracker(
            core.quarantine,
            LossClassifier(core.state.searchers, core.clock, rng),
            tasks,
            core.clock,
            core.membership.own.incarnation,
        )
        desk = _desk(core, pools, clients, suspects, rng)
        service = _caller_service(core, pools, desk, suspects)
        facts = GossipProtocol(
            core.register,
            core.departures,
            core.quarantine,
            core.membership,
            rng,
        )
        links = PeerLinks(
            facts,
            clients,
            tasks,
            rng,
            core.pauses.record_read,
        )
        suspects.on_change = links.notify_peers
        _subscribe_to_register(core, pools, links)
        peers = PeerService(facts, desk, core.handovers, core.clock)
        peer_listen = settings.peer_listen_address or settings.peer_address
        stack.enter_context(peer_server(peers, peer_listen))
        tasks.start(links.run)
        _start_watches(core, tasks, links)
        server = stack.enter_context(
            caller_server(CallerApp(service), _listening(settings)),
        )
        stack.callback(tasks.stopping.set)
        yield Vm(core, service, server, desk, clients, links)


def _core(settings: Settings) -> Core:
    clock = SystemClock()
    state = PlatformState()
    register = RevisionRegister(state.apply)
    pauses = PauseDetector(clock)
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
        departures=LeavingSearchers(clock, own.incarnation),
        quarantine=Quarantine(clock, settings.limits.quarantine_entries),
        membership=membership,
        handovers=Handovers(clock),
        metrics=Metrics(_statsd_client(settings)),
        admission=Admission(settings.limits.requests_in_flight, clock),
        attempt_ids=AttemptIds(own.incarnation),
        pauses=pauses,
        watches=[
            PlatformWatch(
                HttpPlatformReader(address, KEY_PREFIX),
                register,
                clock,
                random.Random(),
                is_reader,
                pauses.record_read,
            )
            for address in settings.platform_addresses
        ],
    )


def _desk(
    core: Core,
    pools: SearcherPools,
    clients: PeerClients,
    suspects: CrashTracker,
    rng: random.Random,
) -> OrderHandler:
    settings = core.settings
    own = core.membership.own
    mint = TicketIssuer(
        own.address,
        own.incarnation,
        _ticket_key(settings),
        core.clock,
        settings.ticket_lifetime_s,
    )
    return OrderHandler(
        mint,
        TicketTable(mint, core.clock, settings.limits.tickets),
        OrderDispatcher(
            core.state,
            pools,
            suspects,
            core.attempt_ids,
            core.clock,
            core.pauses.is_fresh,
        ),
        GrpcForwarder(clients, core.membership, core.clock),
        core.handovers,
        core.clock,
        rng,
    )


def _query_runner(
    core: Core,
    pools: SearcherPools,
    suspects: CrashTracker,
) -> QueryRunner:
    sightings = ServedSnapshots(core.clock)
    return QueryRunner(
        Pinning(core.state, pools, core.departures, sightings),
        Policies(),
        Backends(
            pools,
            sightings,
            core.attempt_ids,
            core.clock,
        ),
        suspects,
    )


def _caller_service(
    core: Core,
    pools: SearcherPools,
    desk: OrderHandler,
    suspects: CrashTracker,
) -> CallerService:
    queries = _query_runner(core, pools, suspects)
    reporter = StatusReporter(
        PlatformReporter(core.register, core.watches, core.clock),
        core.membership,
        core.departures,
        core.quarantine,
        core.metrics,
        core.admission,
        desk.table,
    )
    return CallerService(
        core.state,
        core.admission,
        queries,
        desk,
        core.metrics,
        reporter.report,
        core.clock,
    )


def _subscribe_to_register(
    core: Core,
    pools: SearcherPools,
    links: PeerLinks,
) -> None:
    def follow(published: PublishedValue) -> None:
        key = published.key
        if key.startswith(CATALOGUE_PREFIX):
            service = ServiceName(key.removeprefix(CATALOGUE_PREFIX))
            removed = Catalogue(service, ())
            by_service = core.state.catalogue_by_service
            pools.apply_catalogue(by_service.get(service, removed))
        elif key == FLEET_KEY:
            _apply_fleet(core)
            links.reconcile_soon()
        links.notify_peers(key)

    core.register.subscribe(follow)
    core.departures.subscribe(links.notify_peers)


def _apply_fleet(core: Core) -> None:
    fleet = core.state.fleet
    core.membership.update_listed(
        {vm.address for vm in fleet.vms if vm.state is VmState.LIVE},
    )
    core.departures.update_listed(fleet.leaving_searchers)


def _start_watches(core: Core, tasks: TaskGroup, links: PeerLinks) -> None:
    for watch in core.watches:
        tasks.start(partial(watch.run, tasks.stopping))
    firsts = [one.health.first_read for one in core.watches]
    tasks.start(lambda: core.pauses.run(tasks.stopping))
    returns = RestartDetector(core.departures)
    tasks.start(lambda: returns.run(tasks.stopping))
    tasks.start(
        lambda: wait_for_initial_sync(
            core.state, links.has_tried_all_peers, firsts, tasks.stopping
        ),
    )


def _listening(settings: Settings) -> ListenConfig:
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


def _ticket_key(settings: Settings) -> bytes:
    try:
        key = settings.ticket_key_file.read_bytes().strip()
    except OSError as error:
        raise KeyFileError(str(error)) from error
    if len(key) < MIN_KEY_BYTES:
        raise KeyFileError(
            f'{settings.ticket_key_file}: shorter than {MIN_KEY_BYTES} bytes',
        )
    return key
