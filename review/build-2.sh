#!/usr/bin/env bash
# The stand-ins of the scripts in review/5 to review/8 are Python files with the standard library only: nothing has to
# be compiled. Checks what they need: Python 3.11 or newer, the files themselves, and the deploy file's program.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
  echo "Python 3.11 or newer is needed" >&2
  exit 1
}
python3 -B -c 'import ast, sys; [ast.parse(open(name, encoding="utf-8").read(), name) for name in sys.argv[1:]]' \
  review/tools-2/*.py review/[5-8]/case.py
test -x target/programs/switchsaddle || {
  echo "run the build of the deploy file first" >&2
  exit 1
}
echo "nothing to build"
