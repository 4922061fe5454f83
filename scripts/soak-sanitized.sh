#!/usr/bin/env bash
# A short seeded soak of daemons that are built with sanitizers (docs/TESTBED.md): an invalid access, undefined
# behaviour or a leak ends a process, which fails the run. SANITIZERS=thread looks for data races instead.
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizers=${SANITIZERS:-address,undefined}
build=${SANITIZED_BUILD:-build-sanitized}
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build" -G Ninja -DSWITCHSADDLE_SANITIZERS="$sanitizers" >/dev/null
ninja -C "$build" switchsaddle switchsaddle-testbed
directory=$(mktemp -d)
"$build/programs/switchsaddle-testbed" soak --directory "$directory" --network "127.$((60 + $$ % 40))" \
  --platform --faulty-disks --fronts 6 --memory-mb 256 --unchecked-memory --descriptors 4096 --client-pause-ms 400 --disturbers 6 \
  --seed "${SEED:-1}" --seeds "${SEEDS:-2}" --seconds "${SECONDS_OF_SEED:-20}"
rm -r "$directory"
