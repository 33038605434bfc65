"""Reads the key that VMs sign tickets with."""

from pathlib import Path

MIN_KEY_BYTES = 16


class KeyFileError(Exception):
    """The ticket key file can't be read or the key is too short."""


def read_ticket_key(path: Path) -> bytes:
    """Return the key in a file, without white space around it.

    Args:
        path: The file, the same on all VMs of a fleet.

    Raises:
        KeyFileError: If the file can't be read or the key is too short.
    """
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise KeyFileError(str(error)) from error
    if len(key) < MIN_KEY_BYTES:
        raise KeyFileError(f'{path}: shorter than {MIN_KEY_BYTES} bytes')
    return key
