"""What an attempt's result means for its request and for its searcher.

One table stands for all chains of conditions: whether another attempt is
allowed, whether it draws on the budget, and whom the result is held against.
"""

from dataclasses import dataclass
from enum import Enum

from basilwall.records.forwarding import AttemptResult, Lost, Reply, Unsent
from basilwall.records.routes import Repeat

HTTP_CLIENT_ERROR = 400
HTTP_SERVER_ERROR = 500


class Kind(Enum):
    """The kinds of result that are told apart."""

    SUCCESS = 'success'
    REJECTED = 'rejected'
    REFUSED = 'refused'
    FAILED = 'failed'
    LOST = 'lost'
    UNSENT = 'unsent'


class Blame(Enum):
    """What a result says of the searcher."""

    NONE = 'none'
    NO_ROOM = 'no_room'
    FAULTY = 'faulty'


@dataclass(frozen=True, slots=True)
class Rule:
    """What follows from a result; `is_free` attempts need no budget."""

    may_repeat: bool
    is_free: bool
    may_have_run: bool
    blame: Blame


_FINAL = Rule(False, False, True, Blame.NONE)
_RULE_BY_KIND = {
    Kind.SUCCESS: _FINAL,
    Kind.REJECTED: _FINAL,
    Kind.REFUSED: Rule(True, False, False, Blame.NO_ROOM),
    Kind.FAILED: Rule(True, False, True, Blame.FAULTY),
    Kind.LOST: Rule(True, False, True, Blame.FAULTY),
    Kind.UNSENT: Rule(True, True, False, Blame.NO_ROOM),
}
#: A request that runs at most once is over as soon as it may have run.
_RULE_BY_KIND_AT_MOST_ONCE = _RULE_BY_KIND | {
    Kind.FAILED: Rule(False, False, True, Blame.FAULTY),
    Kind.LOST: Rule(False, False, True, Blame.FAULTY),
}
RULES_BY_REPEAT = {
    Repeat.IDEMPOTENT: _RULE_BY_KIND,
    Repeat.AT_MOST_ONCE: _RULE_BY_KIND_AT_MOST_ONCE,
}


def kind_of(outcome: AttemptResult) -> Kind:
    """Return the kind of a result."""
    if isinstance(outcome, Unsent):
        return Kind.UNSENT
    if isinstance(outcome, Lost):
        return Kind.LOST
    return _kind_of_reply(outcome)


def rule_of(repeat: Repeat, outcome: AttemptResult) -> Rule:
    """Return what follows from a result of a request."""
    return RULES_BY_REPEAT[repeat][kind_of(outcome)]


def describe(outcome: AttemptResult) -> str:
    """Return a result in a few words, for logs."""
    kind = kind_of(outcome).value
    if isinstance(outcome, Reply):
        return f'{kind} with {outcome.status}'
    return f'{kind}: {outcome.reason.value} {outcome.detail}'.rstrip()


def _kind_of_reply(reply: Reply) -> Kind:
    if reply.is_success:
        return Kind.SUCCESS
    if not reply.has_run:
        return Kind.REFUSED
    if HTTP_CLIENT_ERROR <= reply.status < HTTP_SERVER_ERROR:
        return Kind.REJECTED
    return Kind.FAILED
