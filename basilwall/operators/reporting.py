"""Builds the status report from the components of this VM."""

from basilwall.caller.admission import Admission
from basilwall.operators.metrics import Metrics
from basilwall.operators.platform_reporting import PlatformReporter
from basilwall.operators.status import StatusReport, VmStatus
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.membership import Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.tickets import TicketTable


class StatusReporter:
    """Reads the state of all components and changes none."""

    def __init__(
        self,
        platform: PlatformReporter,
        membership: Membership,
        leaving_searchers: LeavingSearchers,
        quarantine: Quarantine,
        metrics: Metrics,
        admission: Admission,
        ticket_table: TicketTable,
    ) -> None:
        self._platform = platform
        self._membership = membership
        self._leaving_searchers = leaving_searchers
        self._quarantine = quarantine
        self._metrics = metrics
        self._admission = admission
        self._ticket_table = ticket_table

    def report(self) -> StatusReport:
        """Return the current status."""
        return StatusReport(
            vm=self._vm(),
            platform=self._platform.platform_status(),
            values=self._platform.key_statuses(),
            leaving_searchers=self._leaving_searchers.notice_ages(),
            quarantine={
                entry.fingerprint: tuple(sorted(entry.struck_searchers()))
                for entry in self._quarantine.entries()
                if entry.struck_searchers()
            },
            counters=self._metrics.counters(),
            latencies=self._metrics.latencies(),
        )

    def _vm(self) -> VmStatus:
        own = self._membership.own
        alive = self._membership.live_members()
        return VmStatus(
            address=own.address,
            incarnation=own.incarnation,
            zone=own.zone,
            stopping=own.leaving,
            in_flight=self._admission.in_flight,
            tickets=len(self._ticket_table),
            peers=tuple(sorted(member.address for member in alive)),
        )
