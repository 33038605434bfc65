"""Runs all scenarios, or those named on the command line."""

import sys
import tempfile
from functools import partial
from pathlib import Path

from bench import (
    data_path,
    exchange,
    policy,
    relays,
    scattering,
    slopes,
    spread,
)
from bench.report import show

SCENARIOS = {
    'data-path': data_path.run,
    'stragglers': partial(policy.stragglers, name='qasr-al-jamr'),
    'weighs': partial(policy.weighs, name='transandina'),
    'overload': partial(policy.overload, name='qasr-al-jamr'),
    'overload-transandina': partial(policy.overload, name='transandina'),
    'slopes': slopes.run,
    'exchange': exchange.run,
    'scattering': scattering.run,
    'spread': spread.run,
    'relays': relays.run,
}


def main() -> None:
    """Run and print."""
    for name in sys.argv[1:] or SCENARIOS:
        with tempfile.TemporaryDirectory() as folder:
            show(name, SCENARIOS[name](Path(folder)))


if __name__ == '__main__':
    main()
