#!/usr/bin/env bash
# Measures five real cores with several numbers of lightweight fronts; see scale_run.py and docs/CAPACITY.md.
set -euo pipefail
exec python3 "$(dirname "$0")/scale_run.py" "$@"
