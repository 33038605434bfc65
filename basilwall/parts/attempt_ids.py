"""Unique identifiers of attempts.

Callers may choose the id of a request, and two callers may choose the same, so
a request id doesn't identify a reply. An attempt id consists of the name of
the process, which is drawn at random when it starts, and a counter.
"""

import itertools

from basilwall.records.ids import AttemptId

#: Characters of the process name in an identifier.
NAME_LENGTH = 16


class AttemptIds:
    """Generates identifiers, each of them once."""

    def __init__(self, process_name: str) -> None:
        self._prefix = process_name[:NAME_LENGTH]
        self._numbers = itertools.count(1)

    def next(self) -> AttemptId:
        """Return an identifier that has not been used before."""
        return AttemptId(f'{self._prefix}.{next(self._numbers)}')
