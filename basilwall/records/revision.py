"""Revisions: points in the history of a store.

A store may come back from an older copy of its data and give out numbers again.
It then raises its epoch, so a revision has two parts, and the epoch goes first
in the order. Neither part has a highest value.

Revisions are compared and passed on by all that holds values; their parts are
read only by the clients of a store and by the encoders of messages between VMs.
"""

import re
from typing import NamedTuple

_TEXT = re.compile('(?:([0-9]+):)?([0-9]+)', re.ASCII)


class Revision(NamedTuple):
    """A point in the history of a store.

    Attributes:
        epoch: How often the store came back from an older copy, by its own
            count; 0 for a store that has no epochs.
        number: The store's counter of changes; 0 before the first one.
    """

    epoch: int
    number: int

    def __str__(self) -> str:
        """Return the decimal number, after the epoch and a colon if not 0."""
        return f'{self.epoch}:{self.number}' if self.epoch else f'{self.number}'

    @property
    def is_valid(self) -> bool:
        """True if it is a point in the history of a store."""
        return min(self) >= 0 and self != NO_REVISION


#: Comes before all others: nothing is known of the store.
NO_REVISION = Revision(0, 0)


def parse_revision(text: str) -> Revision:
    """Return the revision that `str` turned into a text.

    Raises:
        ValueError: If it is no text of a revision, or a number in it has more
            digits than Python reads.
    """
    found = _TEXT.fullmatch(text)
    if found is None:
        raise ValueError('not a revision')
    epoch, number = found.groups(default='0')
    return Revision(int(epoch), int(number))
