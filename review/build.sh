#!/bin/sh
# Builds the stand-ins that the cases start: they are Python programs without dependencies, so it
# checks that each can be compiled, and that the entry's program can be loaded.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins.py review/*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONPATH=target/deps python3 -W ignore -c 'import poplarhoist.gateway.server'
