#!/bin/sh
# Builds the stand-ins of the cases from 6 on: they are Python modules that need
# only what the build of the deploy file has put into target/deps, so this checks
# that they can be imported.
cd "$(dirname "$0")/.." || exit 2
exec sh review/python.sh -c "import harness, memory_limit"
