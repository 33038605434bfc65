"""A running entry VM and its planned stop.

The balancer needs a while to notice that a VM is not ready, and callers keep
using open connections; so a stop says so first, answers what still comes, and
closes idle connections only then. The platform ends what takes longer than its
limit, so the last connections are taken and answered a little before that.
"""

import logging
import threading
from dataclasses import dataclass

from basilwall.fleet.entry_fleet import Fleet
from basilwall.ingress.server import Acceptor, Ingress
from basilwall.parts.clock import Clock
from basilwall.routing.routing_state import RoutingState
from basilwall.settings.current import CurrentSettings

#: The balancer notices within this time that a VM is not ready, in seconds.
BALANCER_LAG_SECONDS = 3.0
#: Time kept at the end of a stop for the last answers, in seconds.
FINAL_ANSWERS_SECONDS = 0.8
#: Time for taking and answering the last connections, in seconds.
DRAIN_BACKLOG_SECONDS = 1.0
#: Time between two looks at what is still open, in seconds.
POLL_INTERVAL_SECONDS = 0.05

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EntryVm:
    """One running entry VM and its planned stop."""

    settings: CurrentSettings
    routing_state: RoutingState
    ingress: Ingress
    acceptor: Acceptor
    fleet: Fleet
    clock: Clock

    def stop(self) -> bool:
        """Stop by plan: leave the balancer, then finish what was begun.

        Returns:
            False if a connection was cut off at the limit.
        """
        began_at = self.clock.monotonic()
        limit = self.settings.value.bounds.stop_limit - FINAL_ANSWERS_SECONDS
        state = self.ingress.stop_state
        state.is_stopping = True
        self.fleet.membership.announce_leaving()
        _log.info('stopping', extra={'connections': self._open_connections()})
        self._wait_until(began_at + min(BALANCER_LAG_SECONDS, limit / 2))
        state.is_closing_idle = True
        self._wait_until(
            began_at + limit - DRAIN_BACKLOG_SECONDS, until_idle=True
        )
        self.acceptor.close()
        self._wait_until(began_at + limit, until_idle=True)
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
