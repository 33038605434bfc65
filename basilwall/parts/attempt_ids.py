"""Identifiers of attempts that no other attempt ever carries.

A caller may choose the id of its request, and two callers may choose the
same one, so the id of a request can't tell two replies apart. The name of the
process, drawn at random when it starts, and a count can.
"""

import itertools

from basilwall.records.ids import AttemptId

#: Characters of the process name that an identifier carries.
NAME_LENGTH = 16


class AttemptIds:
    """Hands out identifiers, each of them once."""

    def __init__(self, process_name: str) -> None:
        self._prefix = process_name[:NAME_LENGTH]
        self._numbers = itertools.count(1)

    def next(self) -> AttemptId:
        """Return an identifier that was never handed out before."""
        return AttemptId(f'{self._prefix}.{next(self._numbers)}')
