#!/bin/sh
# Measures both deployments of examples/ under their loads, through the fleet and, for comparison,
# with requests sent directly to the workers. Prints responses, first-token times, the fronts' processor
# time and the machine's load average. Usage: measure.sh PROGRAMS DIRECTORY [SECONDS] [NETWORK]
set -eu
programs=$1
directory=$2
seconds=${3:-30}
network=${4:-127.45}
testbed=$programs/switchsaddle-testbed
for deployment in tavola-comune red-comunitaria; do
  example=examples/$deployment
  for mode in fleet direct; do
    # Each mode starts its own workers, because a run warms their caches.
    run=$directory/$deployment-$mode
    mkdir -p "$run"
    "$testbed" fleet up --layout "$example/layout.json" --configuration "$example/configuration.json" \
      --directory "$run" --network "$network" >"$run/up.log"
    flag=
    if [ "$mode" = direct ]; then
      flag=--direct
    fi
    echo "== $deployment, $mode, ${seconds} s, load average $(cut -d' ' -f1-3 /proc/loadavg)"
    "$testbed" load --fleet "$run/fleet.json" --load "$example/load.json" --record "$run/record.jsonl" \
      --seconds "$seconds" --seed 1 $flag
    # Without the fleet, resent requests run twice and the history checker reports them.
    "$testbed" check-history --record "$run/record.jsonl" --journals "$run/journals" --fleet "$run/fleet.json" ||
      true
    "$testbed" fleet down --directory "$run"
  done
done
