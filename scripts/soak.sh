#!/usr/bin/env bash
# Short seeded soaks of real daemons (docs/TESTBED.md): one among faulty workers with every kind of disturbance, one
# among sound workers in which every request taken must be answered, one after a first start in which all cores are
# killed, one in the users' dialect on disks with faults and within the limits of a machine. Fails on any violation, such as a process that ends by itself. Last, two processes are ended behind the
# checker's back: a run that does not notice fails.
set -euo pipefail
cd "$(dirname "$0")/.."
testbed=${BUILD:-build}/programs/switchsaddle-testbed
directory=$(mktemp -d)
# Two runs on one machine use different addresses.
network=127.$((100 + $$ % 100))
soak() { "$testbed" soak --directory "$directory" --network "$network" "$@"; }
soak --seed 1 --seconds 25
soak --seed 2 --seconds 20 --sound-workers --kinds front-term front-hangup core-term core-freeze change
soak --seed 3 --seconds 8 --first-start-kills 3
soak --seed 5 --seconds 20 --platform --faulty-disks --fronts 6 --client-pause-ms 400 --disturbers 6 \
  --memory-mb 256 --descriptors 4096 --address-space-mb 256
if output=$(soak --seed 4 --seconds 2 --kinds worker-restart --untold-ends 2); then
  echo "soak: the ends of two processes were not noticed"
  exit 1
fi
echo "soak: two processes ended behind the checker's back, noticed: $(grep -c 'ended by itself' <<<"$output")"
grep -q 'ended by itself: signal 11' <<<"$output"
rm -r "$directory"
