"""What the decoders of stored values share."""

import msgspec

MS_PER_SECOND = 1000
MAX_LOGGED_CHARACTERS = 200


class UnreadableValueError(ValueError):
    """A stored value does not have the form that its key requires."""


#: Errors that decoding raises on invalid bytes.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    KeyError,
    ArithmeticError,
    RecursionError,
)


def cut_for_log(text: str) -> str:
    """Return as much of a text as is logged."""
    return text[:MAX_LOGGED_CHARACTERS]
