#!/usr/bin/env bash
# Crowds of misbehaving clients, and of workers that misanswer, against real daemons (docs/TESTBED.md): each daemon must
# live, stay within the memory and the descriptors of its machine, and answer ordinary requests. One crowd runs at a
# time. Passes over the crowds that KNOWN-RED.txt lists as `crowd NAME`, and prints them.
set -euo pipefail
cd "$(dirname "$0")/.."
testbed=${BUILD:-build}/programs/switchsaddle-testbed
directory=$(mktemp -d)
# Two runs on one machine use different addresses.
network=127.$((200 + $$ % 50))
mapfile -t known_red < <(sed -n 's/^crowd \([a-z-]*\),.*/\1/p' KNOWN-RED.txt)
mapfile -t kinds < <("$testbed" crowd --list)
sound_kinds=()
for kind in "${kinds[@]}"; do
  if [[ " ${known_red[*]} " == *" $kind "* ]]; then
    echo "crowd $kind: listed in KNOWN-RED.txt, skipped"
  else
    sound_kinds+=("$kind")
    "$testbed" crowd --directory "$directory" --network "$network" --kinds "$kind"
  fi
done
# All kinds at the same time, on machines of the size of the users' fronts.
"$testbed" crowd --directory "$directory" --network "$network" --together --kinds "${sound_kinds[@]}" --clients 10 \
  --memory-mb 160 --descriptors 4100
# Clients that come while the daemons get no processor time: the system takes their bytes.
"$testbed" crowd --directory "$directory" --network "$network" --frozen --kinds whole-bodies --clients 1000 \
  --reconnects 0 --memory-mb 40 --descriptors 4100
rm -r "$directory"
