"""Headers of searchers' replies."""

import pytest

from basilwall.platform.headers import MAX_REST_SECONDS, decode_reply
from basilwall.records.forwarding import ReplyHead


def decode(status, **headers):
    raw = tuple(
        (name.replace('_', '-').encode(), text)
        for name, text in headers.items()
    )
    return decode_reply('i-1', ReplyHead(status, b'X', raw), b'')


@pytest.mark.parametrize(
    ('status', 'headers', 'is_leaving'),
    [
        (200, {'Server_Leaving': b'1'}, True),
        (503, {'server_leaving': b'1'}, True),
        (200, {'Server_Leaving': b'0'}, False),
        (200, {'Connection': b'close'}, False),
        (421, {'Server_Leaving': b'1'}, False),
    ],
)
def test_only_the_searcher_itself_says_that_it_leaves(
    status, headers, is_leaving
):
    assert decode(status, **headers).is_leaving is is_leaving


@pytest.mark.parametrize(
    ('status', 'text', 'seconds'),
    [
        (503, b'2', 2),
        (503, b'0.25', 0.25),
        (503, b'1e9', MAX_REST_SECONDS),
        (503, b'nan', None),
        (503, b'-1', None),
        (503, b'soon', None),
        (500, b'2', None),
        (200, b'2', None),
    ],
)
def test_a_refusing_searcher_may_ask_for_a_rest(status, text, seconds):
    assert decode(status, Retry_After=text).rest_seconds == seconds


@pytest.mark.parametrize(
    ('status', 'text', 'limit'),
    [
        (200, b'15.2', 15.2),
        (503, b'3', 3),
        (200, b'0', 0),
        (421, b'15.2', None),
        (200, b'-1', None),
        (200, b'nan', None),
        (200, b'inf', None),
        (200, b'few', None),
    ],
)
def test_only_the_searcher_itself_names_a_rate_limit(status, text, limit):
    assert decode(status, Server_Limit=text).rate_limit == limit
