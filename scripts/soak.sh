#!/usr/bin/env bash
# Short seeded soaks of real daemons (docs/TESTBED.md): one among faulty workers with every kind of disturbance, and one
# among sound workers in which every request taken must be answered. Fails on any violation.
set -euo pipefail
cd "$(dirname "$0")/.."
testbed=${BUILD:-build}/programs/switchsaddle-testbed
directory=$(mktemp -d)
# Two runs on one machine use different addresses.
network=127.$((100 + $$ % 100))
soak() { "$testbed" soak --directory "$directory" --network "$network" "$@"; }
soak --seed 1 --seconds 25
soak --seed 2 --seconds 20 --sound-workers --kinds front-term front-hangup core-term core-freeze change
rm -r "$directory"
