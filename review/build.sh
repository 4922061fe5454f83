#!/usr/bin/env bash
# The stand-ins of the cases are one Python file with the standard library only: nothing has to be compiled. Checks what
# the scripts need: Python 3.11 or newer, and the program that the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "Python 3.11 or newer is needed" >&2
  exit 1
}
test -x target/programs/switchsaddle || {
  echo "run the build of the deploy file first" >&2
  exit 1
}
echo "nothing to build"
