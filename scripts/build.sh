#!/usr/bin/env bash
# Builds everything into build/ (or $BUILD).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" "$@"
