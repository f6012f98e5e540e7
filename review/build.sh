#!/bin/sh
# Builds the stand-ins of the cases: they are Python modules that need only what
# the build of the deploy file has put into target/deps, so this checks that.
cd "$(dirname "$0")/.." || exit 2
exec sh review/python.sh -c "import harness"
