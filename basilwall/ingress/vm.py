"""A running entry VM and its planned stop.

The balancer needs a while to notice that a VM is not ready, and callers keep
using open connections; so a stop says so first, answers what still comes, and
closes idle connections only then. The platform ends what takes longer than its
limit, so the last connections are taken and answered a little before that.
"""

import logging
import threading
from dataclasses import dataclass

from basilwall.fleet.known import Fleet
from basilwall.ingress.server import Ingress, Listening
from basilwall.parts.clock import Clock
from basilwall.routing.deployment import Deployment
from basilwall.settings.current import CurrentSettings

#: The balancer notices within this time that a VM is not ready, in seconds.
BALANCER_LAG = 3.0
#: Time kept at the end of a stop for the last answers, in seconds.
LAST_ANSWERS = 0.8
#: Time for taking and answering the last connections, in seconds.
LAST_TAKEN = 1.0
#: Time between two looks at what is still open, in seconds.
STOP_STEP = 0.05

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EntryVm:
    """One running entry VM and its planned stop."""

    settings: CurrentSettings
    deployment: Deployment
    ingress: Ingress
    listening: Listening
    fleet: Fleet
    clock: Clock

    def stop(self) -> bool:
        """Stop by plan: leave the balancer, then finish what was begun.

        Returns:
            False if a connection was cut off at the limit.
        """
        began_at = self.clock.monotonic()
        limit = self.settings.value.bounds.stop_limit - LAST_ANSWERS
        state = self.ingress.stop
        state.is_stopping = True
        self.fleet.membership.leave()
        _log.info('stopping', extra={'connections': self._open()})
        self._wait(began_at + min(BALANCER_LAG, limit / 2))
        state.closes_idle = True
        self._wait(began_at + limit - LAST_TAKEN, until_idle=True)
        self.listening.close()
        self._wait(began_at + limit, until_idle=True)
        _log.info('stopped', extra={'cut_off': self._open()})
        return not self._open()

    def _open(self) -> int:
        return len(self.ingress.connections)

    def _wait(self, end: float, *, until_idle: bool = False) -> None:
        pause = threading.Event()
        while self.clock.monotonic() < end:
            if until_idle and not self._open():
                return
            pause.wait(STOP_STEP)
