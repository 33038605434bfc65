"""The part of the composition root that builds what serves requests."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial

from basilwall.backend.loss_classifier import LossClassifier
from basilwall.backend.probe import (
    find_dead,
    find_ended,
    find_refusing,
)
from basilwall.fleet.entry_fleet import Fleet
from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.connection_pools import ConnectionPools
from basilwall.forwarding.context import ForwardingContext
from basilwall.forwarding.crash_detection import ProbingCrashDetector
from basilwall.forwarding.forwarder import Forwarder
from basilwall.forwarding.reply_memory import ReplyMemory
from basilwall.forwarding.reporting import RequestReporter
from basilwall.forwarding.retry_policy import RetryPolicy
from basilwall.forwarding.socket_transport import SocketTransport
from basilwall.forwarding.superseded import SupersededAttempts
from basilwall.ingress.open_connections import OpenConnections
from basilwall.ingress.request_memory import RequestMemory
from basilwall.ingress.sending import AnswerSender
from basilwall.ingress.server import Ingress, StopState
from basilwall.parts.clock import Clock
from basilwall.platform.codec import HeaderCodec
from basilwall.records.routes import CallerLimits
from basilwall.relaying.codec import RelayCodec, RelayedCallerCodec
from basilwall.relaying.connections import RelayConnections
from basilwall.relaying.limits import relayed_limits
from basilwall.relaying.peers import RelayPeers
from basilwall.relaying.relay import Relay
from basilwall.routing.announcements import Announcements
from basilwall.routing.leaving_processes import LeavingProcesses
from basilwall.routing.location import RoundTripTimes
from basilwall.routing.rate_limiter import RateLimiter
from basilwall.routing.routing_state import RoutingState
from basilwall.routing.searcher_links import SearcherLinks
from basilwall.routing.selection import SearcherSelector
from basilwall.settings.current import CurrentSettings
from basilwall.settings.entry import EntrySettings

#: Upper bound of the memory of one caller's connection.
CONNECTION_MEMORY_MB = 0.3
#: File descriptors reserved for anything but connections.
RESERVED_DESCRIPTORS = 400
BYTES_PER_MB = 1_000_000
#: Share of this VM's memory for replies, until their callers have them.
REPLY_MEMORY_RATIO = 0.2
#: Share of this VM's memory for large requests, until they are answered.
REQUEST_MEMORY_RATIO = 0.1
HOUSEKEEPING_INTERVAL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Serving:
    """What serves requests of callers, and those that other VMs relay."""

    callers: Ingress
    vms: Ingress
    rate_limiter: RateLimiter
    links: SearcherLinks
    reply_memory: ReplyMemory


def build_serving(
    current: CurrentSettings,
    routing_state: RoutingState,
    fleet: Fleet,
    reporting: RequestReporter,
    clock: Clock,
    rng: random.Random,
) -> Serving:
    """Build what serves requests, and start its tasks.

    Args:
        current: The settings of this VM.
        routing_state: The route table and the searchers.
        fleet: The other VMs; its tasks include those that are started.
        reporting: Reports how each request ended.
        clock: The monotonic clock.
        rng: Draws what is random.
    """
    settings, tasks, codec = current.value, fleet.tasks, HeaderCodec()
    rate_limiter = RateLimiter(clock, rng, fleet.size, routing_state.searchers)
    links = SearcherLinks(routing_state.addresses, clock, rng, find_dead)
    memory = ReplyMemory(
        int(settings.memory_mb * BYTES_PER_MB * REPLY_MEMORY_RATIO), clock
    )
    round_trips = RoundTripTimes(settings.place)
    pools = ConnectionPools(
        routing_state,
        round_trips,
        clock,
        fleet.size,
        partial(SearcherConnection, clock=clock),
    )
    selector = SearcherSelector(
        routing_state,
        round_trips,
        pools,
        rate_limiter,
        clock,
        rng,
    )
    fleet.gossip.messages.rate_limit_notices = selector.rate_limit_notices
    fleet.gossip.messages.apply_rate_limit = selector.apply_rate_limit
    announcements = Announcements(routing_state, selector)
    fleet.gossip.messages.leaving_notices = routing_state.leaving.notices
    fleet.gossip.messages.apply_leaving = announcements.apply_leaving
    routing_state.subscribe(pools.drop_unlisted)
    routing_state.subscribe(selector.forget_unlisted)
    crash_detector = _build_crash_detector(
        routing_state, fleet, round_trips, links, clock, rng
    )
    transport = SocketTransport(
        announcements.may_send,
        pools,
        codec,
        links,
        memory,
        SupersededAttempts(selector, crash_detector, clock),
        clock,
    )
    retry_policy = RetryPolicy(lambda: current.value.bounds, fleet.size, clock)
    stop_state = StopState()
    context = ForwardingContext(
        routing_state,
        selector,
        transport,
        retry_policy,
        crash_detector,
        clock,
        lambda: links.are_lost,
        stops_at=lambda: stop_state.ends_at,
    )
    links.on_change = partial(_announce_links, fleet)
    relay_connections = RelayConnections(clock, memory)
    relay = Relay(
        RelayPeers(fleet.membership, settings.place, clock),
        relay_connections,
        RelayCodec(codec),
        clock,
        rng,
        lambda: stop_state.ends_at,
    )
    relay.record_announcements = announcements.record_relayed
    tasks.start_loop(partial(transport.superseded.run, tasks.stopping))
    tasks.start_loop(partial(links.run, tasks.stopping))
    tasks.start_loop(
        partial(
            _run_housekeeping,
            (pools.close_idle, relay_connections.close_idle),
            retry_policy,
            current,
            fleet,
            routing_state.leaving,
        )
    )
    callers = Ingress(
        Forwarder(context, reporting, rng, relay),
        codec,
        partial(_caller_limits, routing_state),
        clock,
        OpenConnections(_max_connections(settings), clock),
        AnswerSender(clock, memory.is_awaited),
        RequestMemory(
            int(settings.memory_mb * BYTES_PER_MB * REQUEST_MEMORY_RATIO)
        ),
        stop_state,
    )
    vms = replace(
        callers,
        forwarder=Forwarder(context, reporting, rng),
        codec=RelayedCallerCodec(codec),
        limits=lambda: relayed_limits(_caller_limits(routing_state)),
    )
    return Serving(callers, vms, rate_limiter, links, memory)


def _announce_links(fleet: Fleet, are_lost: bool) -> None:
    fleet.membership.announce_links(reaches_searchers=not are_lost)
    fleet.gossip.push_to_peers()


def _build_crash_detector(
    routing_state: RoutingState,
    fleet: Fleet,
    round_trips: RoundTripTimes,
    links: SearcherLinks,
    clock: Clock,
    rng: random.Random,
) -> ProbingCrashDetector:
    crash_detector = ProbingCrashDetector(
        fleet.quarantine,
        LossClassifier(
            routing_state.all_addresses,
            clock,
            rng,
            find_refusing,
            find_ended,
        ),
        fleet.tasks,
        fleet.membership.own.incarnation,
        clock,
        round_trips.to_zone,
        links.examine,
    )
    crash_detector.on_change = fleet.gossip.push_to_peers
    return crash_detector


def _max_connections(settings: EntrySettings) -> int:
    by_memory = int(settings.memory_mb / 2 / CONNECTION_MEMORY_MB)
    by_descriptors = (settings.descriptors - RESERVED_DESCRIPTORS) // 2
    return max(min(by_memory, by_descriptors), 1)


def _caller_limits(routing_state: RoutingState) -> CallerLimits:
    table = routing_state.table
    return table.limits if table else CallerLimits()


def _run_housekeeping(
    close_idle: Sequence[Callable[[], None]],
    retry_policy: RetryPolicy,
    current: CurrentSettings,
    fleet: Fleet,
    leaving: LeavingProcesses,
) -> None:
    while not fleet.tasks.stopping.wait(HOUSEKEEPING_INTERVAL_SECONDS):
        for close in close_idle:
            close()
        if current.reload_if_changed():
            fleet.membership.update_seeds(current.value.seeds)
        fleet.update_size()
        retry_policy.update_fleet_size()
        if leaving.take_new_notices():
            fleet.gossip.push_to_peers()
