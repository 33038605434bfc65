"""Profiles of the property tests, and the tests that are known to fail.

`ci` draws the same examples each time; `fuzz` draws new ones and more, and
prints what reproduces a failure: see the target `fuzz` of the Makefile.

A line `red test: NODE ID` of KNOWN-RED.txt marks a test that must fail, and a
line `unsteady test: NODE ID` one that failed once and whose cause is not known.
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
#: Whether a listed test must fail, by how its line begins.
_IS_STRICT_BY_PREFIX = {'red test: ': True, 'unsteady test: ': False}


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail; a red one that passes must leave."""
    if not _KNOWN_RED.exists():
        return
    lines = _KNOWN_RED.read_text().splitlines()
    is_strict_by_node = {
        line.removeprefix(prefix): is_strict
        for prefix, is_strict in _IS_STRICT_BY_PREFIX.items()
        for line in lines
        if line.startswith(prefix)
    }
    for item in items:
        if item.nodeid in is_strict_by_node:
            reason = 'listed in KNOWN-RED.txt'
            is_strict = is_strict_by_node[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=is_strict))
