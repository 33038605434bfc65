"""Builds the status report from the parts of this VM."""

from basilwall.caller.admission import Admission
from basilwall.operators.metrics import Metrics
from basilwall.operators.platform_reporting import PlatformReporter
from basilwall.operators.status import StatusReport, VmStatus
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.membership import Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.tickets import TicketTable


class StatusReporter:
    """Reads all parts, changes none."""

    def __init__(
        self,
        platform: PlatformReporter,
        membership: Membership,
        departures: LeavingSearchers,
        quarantine: Quarantine,
        metrics: Metrics,
        admission: Admission,
        table: TicketTable,
    ) -> None:
        self._platform = platform
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
            platform=self._platform.platform_status(),
            values=self._platform.key_statuses(),
            leaving_searchers=self._departures.notice_ages(),
            quarantine={
                entry.fingerprint: tuple(sorted(entry.uncleared()))
                for entry in self._quarantine.entries()
                if entry.uncleared()
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
            tickets=len(self._table),
            peers=tuple(sorted(member.address for member in alive)),
        )
