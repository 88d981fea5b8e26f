#!/usr/bin/env bash
# Checks the stand-ins of the scripts of cases 6 to 10. They are Python programs, as python3 is in scripts/setup.sh.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standin-2/*.py [0-9]*/case.py
