#!/bin/sh
# Runs a program with the packages that the deploy file builds, in the
# repository's root.
root=$(cd "$(dirname "$0")/.." && pwd)
for folder in "$root"/packages/* "$root"/platform; do
  path="$path:$folder"
done
export PYTHONPATH="$root/review:$root/target/deps$path"
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$@"
