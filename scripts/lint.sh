#!/usr/bin/env bash
# Checks formats and code: clang-format and clang-tidy on C++ (also tests and platform/), black and flake8 on
# Python, shfmt and shellcheck on shell scripts. With files as arguments, runs only clang-tidy on those files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}

check_formats() {
  git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror
  echo "clang-format: clean"
  git ls-files '*.py' | xargs black --quiet --check
  git ls-files '*.py' | xargs flake8
  echo "black, flake8: clean"
  { git ls-files '*.sh' && echo .ci/run; } | xargs shfmt -d -i 2 -ci
  { git ls-files '*.sh' && echo .ci/run; } | xargs shellcheck
  echo "shfmt, shellcheck: clean"
}

# clang-tidy reads the compiler flags from the compilation database of the build folder.
cmake -S . -B "$build" -G Ninja >/dev/null
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  check_formats
  mapfile -t files < <(git ls-files 'libraries/*.cc' 'programs/*.cc' 'platform/*.cc')
fi
# Tests are subclasses of their fixtures and use the fixtures' members directly: those need no suffix.
test_config=$(sed '/MemberSuffix/d' .clang-tidy)

tidy() { # FILE: one translation unit
  local options=(--quiet -p "$build")
  case $1 in */test/*) options+=(--config="$test_config") ;; esac
  clang-tidy "${options[@]}" "$1" 2> >(grep -v 'warnings generated' >&2 || true)
}
export -f tidy
export build test_config
printf '%s\0' "${files[@]}" | xargs -0 -P "${JOBS:-$(nproc)}" -I FILE bash -c 'tidy FILE'
echo "clang-tidy: clean (${#files[@]} files)"
