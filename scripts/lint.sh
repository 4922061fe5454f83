#!/usr/bin/env bash
# Checks format and naming: clang-format on every source, clang-tidy on every translation unit.
# With files as arguments clang-tidy looks at those only.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror
echo "clang-format: clean"
cmake -S . -B "$build" -G Ninja >/dev/null
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files 'libraries/*/source/*.cc' 'programs/*.cc' 'platform/*.cc')
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "${JOBS:-$(nproc)}" clang-tidy --quiet -p "$build" 2> >(grep -v 'warnings generated' >&2 || true)
echo "clang-tidy: clean (${#files[@]} files)"
