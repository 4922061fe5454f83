#!/usr/bin/env bash
# Builds everything into build/ (or $BUILD).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
# Relative paths in the cache let all checkouts share the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" "$@"
