"""Profiles of the property tests, and the tests that are known to fail.

`ci` draws the same examples each time; `fuzz` draws new ones and more, and
prints what reproduces a failure: see the target `fuzz` of the Makefile.

A line `red test: NODE ID` of KNOWN-RED.txt marks a test that must fail.
"""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

_SLOW_IS_FINE = (HealthCheck.too_slow, HealthCheck.filter_too_much)

settings.register_profile(
    'ci',
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    suppress_health_check=_SLOW_IS_FINE,
)
settings.register_profile(
    'fuzz',
    deadline=None,
    max_examples=1000,
    stateful_step_count=80,
    print_blob=True,
    suppress_health_check=_SLOW_IS_FINE,
)
settings.load_profile('ci')

_KNOWN_RED = Path(__file__).parent / 'KNOWN-RED.txt'
_RED_TEST = 'red test: '


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail; one that passes must leave the list."""
    if not _KNOWN_RED.exists():
        return
    lines = _KNOWN_RED.read_text().splitlines()
    listed = {
        line.removeprefix(_RED_TEST)
        for line in lines
        if line.startswith(_RED_TEST)
    }
    for item in items:
        if item.nodeid in listed:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
