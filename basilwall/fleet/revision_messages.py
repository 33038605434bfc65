"""Revisions in the messages by which VMs tell each other of the store.

Former builds know a revision as one integer in which both parts are packed.
They are sent that integer where it can hold the revision; a text, which only
later builds read, says all others.
"""

from basilwall.records.revision import Revision, parse_revision

#: The packed integer of former builds: numbers of one epoch, and epochs.
PACKED_NUMBERS_PER_EPOCH = 100_000_000_000
MAX_PACKED_EPOCH = 65_535

WireRevision = int | str


def encode_revision(revision: Revision) -> WireRevision:
    """Return a revision as former builds read it, if they can, else a text."""
    epoch, number = revision
    if epoch <= MAX_PACKED_EPOCH and number < PACKED_NUMBERS_PER_EPOCH:
        return epoch * PACKED_NUMBERS_PER_EPOCH + number
    return str(revision)


def decode_revision(wire: WireRevision) -> Revision:
    """Return the revision that another VM sent.

    Raises:
        ValueError: If it is none.
    """
    if isinstance(wire, str):
        return parse_revision(wire)
    if wire < 0:
        raise ValueError('not a revision')
    return Revision(*divmod(wire, PACKED_NUMBERS_PER_EPOCH))
