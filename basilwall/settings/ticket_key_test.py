"""Which key files are refused, and what is said of them."""

import pytest

from basilwall.settings.ticket_key import KeyFileError, read_ticket_key


def test_white_space_around_a_key_is_left_out(tmp_path):
    path = tmp_path / 'key'
    path.write_bytes(b' 0123456789abcdef\n')
    assert read_ticket_key(path) == b'0123456789abcdef'


@pytest.mark.parametrize('content', [None, b'', b'0123456789abcde\n'])
def test_a_key_file_that_is_missing_or_short_is_named(content, tmp_path):
    path = tmp_path / 'key'
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(KeyFileError, match=str(path)):
        read_ticket_key(path)
