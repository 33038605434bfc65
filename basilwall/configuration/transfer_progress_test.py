"""A transfer that is running counts as contact, but not without end."""

import math

import pytest

from basilwall.configuration.transfer_progress import (
    MAX_TRANSFER_SECONDS,
    STALL_SECONDS,
    TransferProgress,
)
from basilwall.parts.clock import ManualClock


def test_a_transfer_counts_as_contact_while_bytes_come():
    clock = ManualClock()
    progress = TransferProgress(clock)
    assert progress.contact_at() == -math.inf
    with progress.receiving():
        clock.advance(STALL_SECONDS)
        progress.note_piece()
        assert progress.contact_at() == clock.monotonic()
        clock.advance(2 * STALL_SECONDS)
        assert progress.contact_at() == -math.inf
    assert progress.contact_at() == -math.inf


def test_a_transfer_that_trickles_does_not_count_as_contact_for_ever():
    clock = ManualClock()
    progress = TransferProgress(clock)
    with progress.receiving():
        for _ in range(int(MAX_TRANSFER_SECONDS / STALL_SECONDS) + 1):
            clock.advance(STALL_SECONDS)
            progress.note_piece()
        assert progress.contact_at() == -math.inf


def test_a_reply_that_has_come_counts_as_contact_until_it_is_applied():
    clock = ManualClock()
    progress = TransferProgress(clock)
    with progress.receiving():
        clock.advance(STALL_SECONDS / 2)
        progress.note_piece()
    came_at = clock.monotonic()
    clock.advance(STALL_SECONDS)
    assert progress.contact_at() == came_at
    clock.advance(STALL_SECONDS)
    assert progress.contact_at() == -math.inf


def test_a_transfer_that_fails_is_no_contact():
    progress = TransferProgress(ManualClock())
    with pytest.raises(OSError, match='reset'), progress.receiving():
        raise OSError('reset')
    assert progress.contact_at() == -math.inf
