"""Builds the status report from the parts of this VM."""

from basilwall.caller.admission import Admission
from basilwall.operators.metrics import Metrics
from basilwall.operators.status import (
    KeyStatus,
    PlatformStatus,
    StatusReport,
    VmStatus,
)
from basilwall.parts.departures import Departures
from basilwall.parts.membership import Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.tickets import TicketTable
from basilwall.platform.state import PlatformState


class Reporter:
    """Reads all parts, changes none."""

    def __init__(
        self,
        state: PlatformState,
        membership: Membership,
        departures: Departures,
        quarantine: Quarantine,
        metrics: Metrics,
        admission: Admission,
        table: TicketTable,
    ) -> None:
        self._state = state
        self._membership = membership
        self._departures = departures
        self._quarantine = quarantine
        self._metrics = metrics
        self._admission = admission
        self._table = table

    def report(self) -> StatusReport:
        """Return the state as of now."""
        return StatusReport(
            vm=self._vm(),
            platform=PlatformStatus(None, 0, 0),
            values={
                key: KeyStatus(
                    one.revision,
                    one.refused_revision,
                    one.refusal,
                )
                for key, one in tuple(self._state.status_by_key.items())
            },
            leaving_searchers=self._departures.ages(),
            quarantine={
                entry.fingerprint: tuple(sorted(entry.standing()))
                for entry in self._quarantine.entries()
                if entry.standing()
            },
            counters=self._metrics.counters(),
            latencies=self._metrics.latencies(),
        )

    def _vm(self) -> VmStatus:
        own = self._membership.own
        alive = self._membership.alive()
        return VmStatus(
            address=own.address,
            incarnation=own.incarnation,
            zone=own.zone,
            stopping=own.leaving,
            in_flight=self._admission.in_flight,
            tickets=len(self._table),
            peers=tuple(sorted(member.address for member in alive)),
        )
