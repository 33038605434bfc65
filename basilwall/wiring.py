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

from statsd import StatsClient

from basilwall.backend.pools import SearcherPools
from basilwall.backend.suspects import Suspects
from basilwall.caller.admission import Admission
from basilwall.caller.app import CallerApp
from basilwall.caller.server import CallerServer, Listening, caller_server
from basilwall.caller.service import CallerService
from basilwall.document.keys import CATALOGUES, FLEET, PREFIX
from basilwall.operators.metrics import Metrics
from basilwall.operators.reporting import Reporter
from basilwall.order.desk import OrderDesk
from basilwall.order.dispatch import OrderDispatcher
from basilwall.parts.clock import Clock, SystemClock
from basilwall.parts.departures import Departures
from basilwall.parts.handovers import Handovers
from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.revisions import RevisionRegister
from basilwall.parts.tasks import TaskGroup, task_group
from basilwall.parts.tickets import TicketMint, TicketTable
from basilwall.peer.client import GrpcForwarder, PeerClients
from basilwall.peer.facts import Facts
from basilwall.peer.handing_over import hand_over
from basilwall.peer.links import PeerLinks
from basilwall.peer.server import PeerService, peer_server
from basilwall.platform.client import HttpPlatform
from basilwall.platform.state import PlatformState
from basilwall.platform.watching import PlatformWatch
from basilwall.query.policy import Policies
from basilwall.query.runner import QueryRunner
from basilwall.records.catalogue import PublishedValue, VmState
from basilwall.records.ids import Incarnation
from basilwall.settings.model import Settings

MIN_KEY_BYTES = 16

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
    departures: Departures
    quarantine: Quarantine
    membership: Membership
    handovers: Handovers
    metrics: Metrics
    admission: Admission


class Vm:
    """One running VM and its planned stop."""

    def __init__(
        self,
        core: Core,
        service: CallerService,
        server: CallerServer,
        desk: OrderDesk,
        clients: PeerClients,
        links: PeerLinks,
    ) -> None:
        self.core = core
        self._service = service
        self._server = server
        self._desk = desk
        self._clients = clients
        self._links = links

    def stop(self, hurry: threading.Event) -> bool:
        """Stop by plan: finish what is in flight and answer for tickets.

        Args:
            hurry: Set to skip the wait for the balancer.

        Returns:
            False if something was cut off at the limit.
        """
        stop = self.core.settings.stop
        self._service.is_stopping = True
        self.core.membership.leave()
        self._links.wake()
        hurry.wait(stop.balancer_lag_s)
        idle = self.core.admission.wait_idle(stop.limit_s)
        flushed = self._server.wait_flushed(stop.limit_s)
        hand_over(self.core.membership, self._desk.table, self._clients)
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
    source = random.Random()
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
            source,
        )
        stack.callback(pools.close)
        suspects = Suspects(
            core.quarantine,
            core.state,
            tasks,
            core.clock,
            source,
            core.membership.own.incarnation,
        )
        desk = _desk(core, pools, clients, suspects)
        service = _caller_service(core, pools, desk, suspects)
        facts = Facts(
            core.register,
            core.departures,
            core.quarantine,
            core.membership,
        )
        links = PeerLinks(facts, clients, tasks, source)
        suspects.tell = links.wake
        _follow_register(core, pools, links)
        peers = PeerService(facts, desk, core.handovers, core.clock)
        stack.enter_context(peer_server(peers, settings.peer_address))
        _start_watch(core, tasks, source)
        tasks.start(links.run)
        server = stack.enter_context(
            caller_server(CallerApp(service), _listening(settings)),
        )
        stack.callback(tasks.stopping.set)
        yield Vm(core, service, server, desk, clients, links)


def _core(settings: Settings) -> Core:
    clock = SystemClock()
    own = Member(
        settings.vm,
        Incarnation(uuid.uuid4().hex),
        settings.zone,
    )
    return Core(
        settings=settings,
        clock=clock,
        state=PlatformState(),
        register=RevisionRegister(),
        departures=Departures(clock),
        quarantine=Quarantine(clock, settings.limits.quarantine_entries),
        membership=Membership(own, clock),
        handovers=Handovers(clock),
        metrics=Metrics(_statsd(settings)),
        admission=Admission(settings.limits.requests_in_flight),
    )


def _desk(
    core: Core,
    pools: SearcherPools,
    clients: PeerClients,
    suspects: Suspects,
) -> OrderDesk:
    settings = core.settings
    own = core.membership.own
    mint = TicketMint(
        own.address,
        own.incarnation,
        _ticket_key(settings),
        core.clock,
        settings.ticket_lifetime_s,
    )
    return OrderDesk(
        mint,
        TicketTable(mint, core.clock, settings.limits.tickets),
        OrderDispatcher(core.state, pools, suspects, core.clock),
        GrpcForwarder(clients, core.clock),
        core.handovers,
        core.clock,
    )


def _caller_service(
    core: Core,
    pools: SearcherPools,
    desk: OrderDesk,
    suspects: Suspects,
) -> CallerService:
    queries = QueryRunner(
        core.state,
        pools,
        Policies(),
        core.departures,
        suspects,
        core.clock,
    )
    reporter = Reporter(
        core.state,
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


def _follow_register(
    core: Core,
    pools: SearcherPools,
    links: PeerLinks,
) -> None:
    def follow(published: PublishedValue) -> None:
        core.state.accept(published)
        if published.key.startswith(CATALOGUES):
            for catalogue in tuple(core.state.catalogue_by_service.values()):
                pools.follow(catalogue)
        elif published.key == FLEET:
            _follow_fleet(core)
        links.wake()

    core.register.subscribe(follow)


def _follow_fleet(core: Core) -> None:
    fleet = core.state.fleet
    core.membership.listed(
        {vm.address for vm in fleet.vms if vm.state is VmState.LIVE},
    )
    for address in fleet.leaving_searchers:
        core.departures.mark(address)


def _start_watch(
    core: Core,
    tasks: TaskGroup,
    source: random.Random,
) -> None:
    watch = PlatformWatch(
        [
            HttpPlatform(address, PREFIX)
            for address in core.settings.platform_addresses
        ],
        core.register,
        core.clock,
        source,
    )
    tasks.start(lambda: watch.run(tasks.stopping))


def _listening(settings: Settings) -> Listening:
    return Listening(
        settings.caller_address,
        settings.limits.requests_in_flight,
        settings.limits.body_bytes,
    )


def _statsd(settings: Settings) -> StatsClient | None:
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
