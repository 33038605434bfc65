"""Run the benchmark scenarios.

Usage: `python -m bench [SCENARIO ...]`. Without arguments it runs all of
`SCENARIOS`.
"""

import sys
import tempfile
from functools import partial
from pathlib import Path

from bench import (
    data_path,
    entry_parts,
    exchange,
    idle,
    policy,
    relays,
    scattering,
    slopes,
    spread,
)
from bench.report import print_scenario

SCENARIOS = {
    'data-path': data_path.run,
    'stragglers': partial(policy.measure_stragglers, name='qasr-al-jamr'),
    'weighs': partial(policy.measure_weighs, name='transandina'),
    'overload': partial(policy.measure_overload, name='qasr-al-jamr'),
    'slopes': slopes.run,
    'exchange': exchange.run,
    'idle': idle.run,
    'scattering': scattering.run,
    'entry-parts': entry_parts.run,
    'spread': spread.run,
    'relays': relays.run,
}


#: Run only on request, so that a full run takes less than five minutes.
ON_REQUEST_SCENARIOS = {
    'overload-transandina': partial(
        policy.measure_overload, name='transandina'
    ),
    'stragglers-transandina': partial(
        policy.measure_stragglers, name='transandina'
    ),
}


def main() -> None:
    """Run the requested scenarios and print their figures."""
    for name in sys.argv[1:] or SCENARIOS:
        with tempfile.TemporaryDirectory() as folder:
            print_scenario(
                name, (SCENARIOS | ON_REQUEST_SCENARIOS)[name](Path(folder))
            )


if __name__ == '__main__':
    main()
