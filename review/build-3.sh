#!/bin/sh
# Builds the stand-ins of review/11 to review/15: Python modules that are only compiled.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/standins_3.py review/1[1-5]/case.py
