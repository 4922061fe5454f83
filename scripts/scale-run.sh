#!/usr/bin/env bash
# Hollow fronts with five real cores at several sizes; see scale_run.py and docs/CAPACITY.md.
set -euo pipefail
exec python3 "$(dirname "$0")/scale_run.py" "$@"
