"""The planned stop of a VM, which cuts off no request."""

import logging
import threading
from collections.abc import Callable

from basilwall.caller.admission import Admission
from basilwall.caller.server import CallerServer
from basilwall.parts.clock import Clock
from basilwall.settings.model import Stop

#: Time for the last replies if the limit of the stop is used up.
MIN_REPLY_SECONDS = 1.0

_log = logging.getLogger(__name__)


class PlannedStop:
    """Finishes the requests in flight and hands over what the VM owns."""

    def __init__(
        self,
        stop: Stop,
        clock: Clock,
        admission: Admission,
        server: CallerServer,
        announce: Callable[[], object],
        hand_over: Callable[[float], object],
    ) -> None:
        """Make a stop that has not begun.

        Args:
            stop: How long its phases take.
            clock: The monotonic clock.
            admission: Knows the requests in flight.
            server: Serves the callers.
            announce: Makes the VM report that it is not ready, and tells the
                other VMs that it leaves.
            hand_over: Hands over tickets within a number of seconds.
        """
        self._stop = stop
        self._clock = clock
        self._admission = admission
        self._server = server
        self._announce = announce
        self._hand_over = hand_over

    def run(self, skip_balancer_wait: threading.Event) -> bool:
        """Stop gracefully.

        Args:
            skip_balancer_wait: Set to skip the wait for the balancer.

        Returns:
            False if a request was cut off at the limit of the stop.
        """
        self._announce()
        skip_balancer_wait.wait(self._stop.balancer_lag_s)
        ends_at = self._clock.monotonic() + self._stop.limit_s
        self._admission.ends_at = ends_at
        if not self._admission.wait_idle(self._stop.limit_s / 2):
            # Callers go on; the requests accepted so far need the other half.
            self._server.refuse_new_connections()
        self._hand_over(max(ends_at - self._clock.monotonic(), 0))
        # Requests were also accepted during the handover; these are the last.
        self._server.refuse_new_connections()
        time_left = max(ends_at - self._clock.monotonic(), MIN_REPLY_SECONDS)
        is_idle = self._admission.wait_idle(time_left)
        is_flushed = self._server.wait_flushed(time_left)
        if not (is_idle and is_flushed):
            _log.error('requests cut off at the limit of the stop')
        return is_idle and is_flushed
