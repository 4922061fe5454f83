#!/usr/bin/env bash
# Installs missing packages, builds, and starts a fleet of real processes on loopback addresses. Then shows a
# stream, a one-shot request and its replay, a change in force on every front, and a worker killed under load.
# Stops the fleet at the end. The exit code is 0 only if every step succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "$(id -u)" = 0 ] && ./scripts/install-packages.sh
build=${BUILD:-build}
BUILD=$build ./scripts/build.sh switchsaddle switchsaddle-testbed
daemon=$build/programs/switchsaddle
testbed=$build/programs/switchsaddle-testbed
fleet=$(mktemp -d)
finish() {
  "$testbed" fleet down --directory "$fleet" >/dev/null 2>&1 || true
  rm -rf "$fleet"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }
expect() { # TEXT PATTERN MESSAGE
  if ! grep -q -- "$2" <<<"$1"; then
    echo "FAILED: $3"
    echo "$1"
    exit 1
  fi
}

say "A fleet of five cores, three fronts in three zones, four model workers, two one-shot workers, a platform"
"$testbed" fleet up --layout examples/demo/layout.json --directory "$fleet" --switchsaddle "$daemon" \
  --configuration examples/demo/configuration.json
front_address() { "$testbed" fleet status --directory "$fleet" | awk -v name="front-$1" '$1 == name {print $4}'; }
front_one=$(front_address 1)
front_two=$(front_address 2)
tenant=$(python3 -c 'import json;print(json.load(open("examples/demo/load.json"))["tenants"][0]["key"])' 2>/dev/null ||
  sed -n 's/.*"key": *"\([^"]*\)".*/\1/p' examples/demo/load.json | head -1)
operator=$(sed -n 's/.*"operator_key": *"\([^"]*\)".*/\1/p' examples/demo/layout.json)
ctl() { "$daemon" ctl --address "$front_one,$front_two" --key "$operator" "$@"; }

say "A streamed completion, up to [DONE]"
# The front may not have received the worker list yet; retry while it responds NoWorkerAvailable.
for _ in 1 2 3 4 5 6 7 8 9 10; do
  stream=$(curl -sN --max-time 20 "http://$front_one/v1/chat/completions" -H "Authorization: Bearer $tenant" \
    -d '{"model":"small","messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":5}')
  grep -q NoWorkerAvailable <<<"$stream" || break
  sleep 1
done
echo "$stream"
expect "$stream" 'data: \[DONE\]' "the stream did not reach [DONE]"

say "A one-shot request, resent through another front: replayed, not run again"
one_shot() {
  curl -s --max-time 20 "http://$1/v1/one-shots" -H "Authorization: Bearer $tenant" \
    -H 'Idempotency-Key: demo-order-1' -d '{"service":"confirmations","payload":{"order":1}}'
}
first=$(one_shot "$front_one")
second=$(one_shot "$front_two")
echo "$first"
echo "$second"
expect "$first" '"outcome":"ran","replayed":false' "the one-shot request did not run"
expect "$second" '"outcome":"ran","replayed":true' "the resent request was not replayed"

say "A change: applied, acknowledged, read back as in force on every front"
ctl set tuning/route-explore-share 0.2
in_force=$(ctl in-force)
echo "$in_force"
[ "$(grep -c 'true *$' <<<"$in_force")" = 3 ] || {
  echo "FAILED: not in force on all three fronts"
  exit 1
}

say "A worker is killed under load"
"$testbed" load --fleet "$fleet/fleet.json" --load examples/demo/load.json --record "$fleet/record.jsonl" \
  --seconds 12 --seed "$(date +%s)" &
load=$!
sleep 4
"$testbed" fleet kill --directory "$fleet" model-1 >/dev/null
sleep 3
"$testbed" fleet start --directory "$fleet" model-1 >/dev/null
wait "$load"

say "The checker reads the callers' record and the workers' journals"
"$testbed" check-history --record "$fleet/record.jsonl" --journals "$fleet/journals"

say "Each front's routing table"
ctl routing

say "All steps succeeded"
