#!/bin/bash
# Prepares the stand-ins of the third review's cases. They are Python of the
# standard library only, so they are merely compiled, in memory; the programs
# under test are built by the build command of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 - review/stage_3.py review/1[1-5]/*.py <<'CODE'
import pathlib
import sys

for name in sys.argv[1:]:
    if '*' not in name:
        compile(pathlib.Path(name).read_text(), name, 'exec')
CODE
