"""Runs the cases of the first review and their controls, and says which fail.

A case fails if its script does not exit with 0: 1 means that the rule was
broken, 2 that it could not be played. A line `red case: NAME` of KNOWN-RED.txt
names a case that may fail.
"""

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).parent
#: The cases that are played; the later ones stay out of the test run.
CASES = range(1, 6)
#: Cases that are played at the same time.
AT_ONCE = 3
#: A case that takes longer has failed.
CASE_SECONDS = 90
NOT_PLAYED = 2
KNOWN_RED = FOLDER.parent / 'KNOWN-RED.txt'
RED_CASE = 'red case: '


def play(case):
    """Run the script of a case; return its exit code."""
    script, is_disturbed = case
    try:
        done = subprocess.run(
            ['sh', str(script)],
            env={
                **os.environ,
                'PYTHON': sys.executable,
                'TROUBLE': '1' if is_disturbed else '0',
            },
            capture_output=True,
            text=True,
            timeout=CASE_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return NOT_PLAYED, 'took too long'
    return done.returncode, done.stdout


def listed_cases():
    """Return the names of the cases that may fail."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {
        line.removeprefix(RED_CASE)
        for line in lines
        if line.startswith(RED_CASE)
    }


def main():
    """Run all cases; return how many failed."""
    scripts = [FOLDER / str(number) / 'run.sh' for number in CASES]
    cases = [(one, trouble) for one in scripts for trouble in (True, False)]
    with ThreadPoolExecutor(AT_ONCE) as pool:
        outcomes = list(pool.map(play, cases))
    failed = 0
    listed = listed_cases()
    for (script, is_disturbed), (code, output) in zip(
        cases, outcomes, strict=True
    ):
        name = f'review/{script.parent.name}'
        kind = 'case' if is_disturbed else 'control'
        print(f'{name} {kind}: exit {code}')
        if not code:
            continue
        print(output)
        if is_disturbed and name in listed:
            print(f'{name} is listed in KNOWN-RED.txt')
        else:
            failed += 1
    print(f'{len(cases) - failed} passed, {failed} failed')
    return failed


if __name__ == '__main__':
    sys.exit(1 if main() else 0)
