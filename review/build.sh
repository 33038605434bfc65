#!/bin/sh
# Builds the stand-ins of the scripts. They are Python and run from source, on
# the libraries that the build of the deploy file puts into target/deps, so this
# checks that they can be imported.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo 'build the deploy file first'; exit 2; }
PYTHONPATH="target/deps:." exec python3 -B -c 'import review.stage'
