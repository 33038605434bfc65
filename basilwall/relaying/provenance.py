"""Who made an answer between VMs, and whether its request may have run.

A status does not tell: a searcher may send any status, also those by which a
VM says that a request has not run. So a VM says it beside each answer.
"""

from dataclasses import dataclass
from enum import Enum

from basilwall.records.forwarding import Verdict


class AnswerOrigin(Enum):
    """Who made an answer."""

    SEARCHER = 'searcher'
    VM = 'vm'
    #: The VM is of a build that does not say.
    UNKNOWN = ''


@dataclass(frozen=True, slots=True)
class Provenance:
    """What a VM says of its answer."""

    origin: AnswerOrigin
    may_have_run: bool


#: What is said by a VM that does not say.
UNKNOWN_PROVENANCE = Provenance(AnswerOrigin.UNKNOWN, may_have_run=True)
_FROM_SEARCHER = Provenance(AnswerOrigin.SEARCHER, may_have_run=True)
_MAY_HAVE_RUN = Provenance(AnswerOrigin.VM, may_have_run=True)
NOT_RUN_BY_VM = Provenance(AnswerOrigin.VM, may_have_run=False)
_PROVENANCE_BY_VERDICT = {
    Verdict.ANSWERED: _FROM_SEARCHER,
    Verdict.PARTIAL: _FROM_SEARCHER,
    Verdict.PASSED_ON: _FROM_SEARCHER,
    Verdict.NO_ROUTE: NOT_RUN_BY_VM,
    Verdict.NO_TABLE: NOT_RUN_BY_VM,
    Verdict.NO_SEARCHER: NOT_RUN_BY_VM,
    Verdict.NOT_RUN: NOT_RUN_BY_VM,
    Verdict.QUARANTINED: NOT_RUN_BY_VM,
    Verdict.UNDECIDED: NOT_RUN_BY_VM,
    Verdict.PRESUMED: NOT_RUN_BY_VM,
    Verdict.MALFORMED: NOT_RUN_BY_VM,
    Verdict.NOT_TAKEN: NOT_RUN_BY_VM,
    Verdict.STOPPING: NOT_RUN_BY_VM,
    Verdict.FAILED: NOT_RUN_BY_VM,
    Verdict.UNUSABLE_ROUTE: NOT_RUN_BY_VM,
}


def provenance_of(verdict: Verdict) -> Provenance:
    """Return what a VM says of an answer of its own with this verdict."""
    return _PROVENANCE_BY_VERDICT.get(verdict, _MAY_HAVE_RUN)
