"""Profiles of the property tests.

`ci` draws the same examples each time; `fuzz` draws new ones and more, and
prints what reproduces a failure: see the target `fuzz` of the Makefile.
"""

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
