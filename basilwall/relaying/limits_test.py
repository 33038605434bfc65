"""What a caller may send to one VM, that VM may relay to another one."""

import pytest

from basilwall.records.routes import CallerLimits
from basilwall.relaying.limits import relayed_limits


@pytest.mark.parametrize('size', [1, 16_384, 2_000_000, 200_000_000])
def test_no_proper_request_is_too_large_to_be_relayed(size):
    relayed = relayed_limits(CallerLimits(size, size, 2, 3))
    assert relayed.max_header_bytes >= max(size, 65_536)
    assert relayed.max_body_bytes >= max(size, 1_048_576)
    assert (relayed.header_timeout, relayed.idle_timeout) == (2, 3)
