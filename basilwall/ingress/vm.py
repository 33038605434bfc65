"""A running entry VM and its planned stop.

The load balancer takes some time to notice that a VM is not ready, and callers
keep using open connections. A stop therefore first reports not ready, keeps
answering, and closes idle connections only after that time. The platform kills
the process at its limit, so the last connections are accepted and answered
shortly before.
"""

import logging
import threading
from dataclasses import dataclass

from basilwall.fleet.entry_fleet import Fleet
from basilwall.forwarding.reply_memory import ReplyMemory
from basilwall.ingress.server import Acceptor, Ingress
from basilwall.parts.clock import Clock
from basilwall.routing.routing_state import RoutingState
from basilwall.settings.current import CurrentSettings

#: The load balancer notices within this time that a VM is not ready.
BALANCER_LAG_SECONDS = 3.0
#: Time kept between the end of the stop and the platform's limit; half of it is
#: for sending the last answers.
FINAL_ANSWERS_SECONDS = 0.8
#: Time for accepting and answering the connections in the backlog.
DRAIN_BACKLOG_SECONDS = 1.0
#: Time between two checks of the open connections.
POLL_INTERVAL_SECONDS = 0.05

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EntryVm:
    """One running entry VM and its planned stop."""

    settings: CurrentSettings
    routing_state: RoutingState
    ingress: Ingress
    acceptors: tuple[Acceptor, ...]
    fleet: Fleet
    reply_memory: ReplyMemory
    clock: Clock

    def stop(self) -> bool:
        """Stop gracefully: leave the load balancer, then finish all requests.

        Returns:
            False if connections were still open at the limit.
        """
        started_at = self.clock.monotonic()
        limit = self.settings.value.bounds.stop_limit - FINAL_ANSWERS_SECONDS
        state = self.ingress.stop_state
        state.ends_at = started_at + limit
        state.is_stopping = True
        self.fleet.membership.announce_leaving()
        self.fleet.gossip.push_to_peers()
        _log.info('stopping', extra={'connections': self._open_connections()})
        self._wait_until(started_at + min(BALANCER_LAG_SECONDS, limit / 2))
        state.is_closing_idle = True
        self._wait_until(
            started_at + limit - DRAIN_BACKLOG_SECONDS, until_idle=True
        )
        for acceptor in self.acceptors:
            acceptor.close()
        self._wait_until(
            state.ends_at + FINAL_ANSWERS_SECONDS / 2, until_idle=True
        )
        _log.info('stopped', extra={'cut_off': self._open_connections()})
        return not self._open_connections()

    def _open_connections(self) -> int:
        return len(self.ingress.connections)

    def _wait_until(self, end: float, *, until_idle: bool = False) -> None:
        pause = threading.Event()
        while self.clock.monotonic() < end:
            if until_idle and not self._open_connections():
                return
            pause.wait(POLL_INTERVAL_SECONDS)
