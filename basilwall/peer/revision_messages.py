"""Revisions in gossip messages: a number where it says all, else a text.

Former builds read the number only. One that says nothing is 0, which they take
for no revision.
"""

from basilwall.records.revision import NO_REVISION, Revision, parse_revision

#: Largest integer of a field.
MAX_NUMBER = 18_446_744_073_709_551_615


def number_of(revision: Revision) -> int:
    """Return the number of a revision, 0 if it doesn't say all of it."""
    is_enough = not revision.epoch and revision.number <= MAX_NUMBER
    return revision.number if is_enough else 0


def text_of(revision: Revision) -> str:
    """Return the text of a revision, empty if its number says all of it."""
    is_said = revision == NO_REVISION or number_of(revision)
    return '' if is_said else str(revision)


def decode_revision(number: int, text: str) -> Revision:
    """Return a received revision.

    Raises:
        ValueError: If its text is none.
    """
    return parse_revision(text) if text else Revision(0, number)
