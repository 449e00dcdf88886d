#!/usr/bin/env bash
# The runs behind docs/CAPACITY.md: one line of JSON each, to the folder given.
#   cargo build --release -p testbed && docs/measurements/hollow.sh /tmp/hollow
# Three at a time; each bounded in time, and said so when it did not end.
set -euo pipefail
into=${1:?a folder}
testbed=${TESTBED:-${RIG:-target/release/testbed}}
mkdir -p "$into"
run() { # name, seconds allowed, flags
  local name=$1 most=$2
  shift 2
  if ! timeout "$most" "$testbed" hollow --json --full 1 "$@" >"$into/$name.json" 2>"$into/$name.err"; then
    echo "$name: not ended within $most s, or failed: $*" >&2
    rm -f "$into/$name.json"
  fi
}
runs() {
  local n w r c
  for n in 12 48 95 190 380; do echo "nodes-$n 300 --seconds 6 --nodes $n"; done
  for w in 200 1000 3000 6700; do echo "workers-$w 300 --seconds 6 --workers $w"; done
  for r in 200 700 1400 5000; do echo "routes-$r 300 --seconds 6 --routes $r"; done
  for c in 5 6 9; do
    echo "cores-$c 300 --seconds 6 --nodes 48 --workers 200 --cores $c --regions $c --zones 23"
  done
  echo "cores-9-small 300 --seconds 6 --cores 9 --regions 9 --zones 23"
  for r in 8 200 1400; do
    echo "change-1-routes-$r 300 --seconds 20 --nodes 24 --routes $r --told 0 --changes-per-s 1"
  done
  echo "change-1-nodes-95 300 --seconds 20 --nodes 95 --routes 200 --told 0 --changes-per-s 1"
  echo "change-slow 300 --seconds 120 --nodes 24 --routes 200 --told 0 --changes-per-s 0.09"
  echo "change-9-cores 300 --seconds 30 --nodes 95 --routes 200 --told 0 --changes-per-s 1 --cores 9 --regions 9 --zones 23"
  echo "change-380 300 --seconds 30 --nodes 380 --routes 1400 --told 0 --changes-per-s 0.09 --cores 9 --regions 9 --zones 23"
  for k in 100 1000 3000; do echo "claims-$k 300 --seconds 6 --claims-per-s $k"; done
  echo "claims-1000-cores-9 300 --seconds 6 --claims-per-s 1000 --cores 9 --regions 9 --zones 23"
  echo "claims-12000 300 --seconds 6 --claims-per-s 12000 --nodes 48 --cores 9 --regions 9 --zones 23"
  echo "untold-380 300 --seconds 6 --nodes 380 --routes 1400 --told 0 --cores 9 --regions 9 --zones 23"
  echo "mix-a 300 --seconds 6 --nodes 48 --workers 1000"
  echo "mix-b 300 --seconds 6 --nodes 48 --routes 200"
  echo "mix-c 300 --seconds 6 --nodes 95 --workers 200 --routes 200 --cores 9 --regions 9 --zones 23"
  echo "mix-d 300 --seconds 6 --nodes 95 --routes 700 --cores 9 --regions 9 --zones 23"
  echo "mix-e 300 --seconds 6 --nodes 95 --workers 1000 --cores 9 --regions 9 --zones 23"
  echo "mix-f 300 --seconds 6 --nodes 380 --workers 200 --cores 9 --regions 9 --zones 23"
  echo "mix-g 300 --seconds 4 --workers 1000 --routes 200"
  echo "mix-h 300 --seconds 4 --workers 200 --routes 1400"
  echo "mix-i 600 --seconds 4 --nodes 190 --workers 3000 --cores 9 --regions 9 --zones 23"
  echo "target-workers 600 --seconds 2 --nodes 380 --workers 6700 --cores 9 --regions 9 --zones 23"
  echo "target-routes 600 --seconds 2 --nodes 380 --routes 1400 --cores 9 --regions 9 --zones 23"
  for f in core restart zone part; do
    echo "fault-$f 300 --seconds 6 --nodes 95 --workers 200 --told 0 --routes 200 --cores 9 --regions 9 --zones 23 --fault $f"
    echo "fault-$f-380 600 --seconds 4 --nodes 380 --workers 200 --told 0 --routes 200 --cores 9 --regions 9 --zones 23 --fault $f"
  done
}
while read -r name most flags; do
  # why: the machine is shared, and host time is measured
  while [ "$(jobs -rp | wc -l)" -ge 3 ]; do wait -n || true; done
  # shellcheck disable=SC2086
  run "$name" "$most" $flags &
done < <(runs)
wait
cat "$into"/*.json >"$into/all.jsonl"
