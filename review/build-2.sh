#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the `build` line of
# deploy/system.toml. All of it is Python, so it is compiled (which finds what can't be read) and
# the store's stand-in is imported once with the packages of target/deps.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib2/*.py review/[0-9]*/case.py standins/metadata.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], "rb").read(), sys.argv[1], "exec")' "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:target/deps python3 -c 'import standins.metadata'
