#!/usr/bin/env bash
# Plays the days beside this script on deployments and tells which rules broke.
#
#   testbed/days/play.sh [--bench PATH] [--sites DIR]... [--site FILE]... [--days GLOB]
#                    [--seeds N | --seed LIST] [--jobs N] [--table FILE] --why TEXT
#
# --bench  the bench's program; also FLEETBENCH. Without either, nothing is played.
# --sites  a folder of site files; --site a single one
# --days   which days, by a pattern of their names (all)
# --seeds  seeds 1 to N (5); --seed takes a list instead, such as 3,7
# --jobs   days played at once (2)
# --table  where the table goes as well, in Markdown
# Exits with 1 if a rule was broken or a day gave no report, with 0 if all held or
# there is no bench, with 2 on wrong use.
set -euo pipefail

here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
repository="$(cd "$here/../.." && pwd)"
bench="${FLEETBENCH:-}"
sites=()
pattern='*'
seeds=()
jobs=2
table=''
why=''

usage() {
  sed -n '2,14p' "${BASH_SOURCE[0]}" >&2
  exit 2
}

while [ $# -gt 0 ]; do
  [ $# -ge 2 ] || usage
  case "$1" in
    --bench) bench="$2" ;;
    --sites) sites+=("$2"/*.toml) ;;
    --site) sites+=("$2") ;;
    --days) pattern="$2" ;;
    --seeds) mapfile -t seeds < <(seq 1 "$2") ;;
    --seed) IFS=',' read -r -a seeds <<< "$2" ;;
    --jobs) jobs="$2" ;;
    --table) table="$2" ;;
    --why) why="$2" ;;
    *) usage ;;
  esac
  shift 2
done

if [ -z "$bench" ] || [ ! -x "$bench" ]; then
  echo "skipped: no bench here (--bench or FLEETBENCH names it)"
  exit 0
fi
[ -n "$why" ] || usage
[ ${#sites[@]} -gt 0 ] || usage
[ ${#seeds[@]} -gt 0 ] || mapfile -t seeds < <(seq 1 5)

results="$(mktemp -d)"
trap 'rm -rf "$results"' EXIT

# Plays one day and writes its row of the table: site, day, seed, rules, gate, journal id.
play_one() {
  local site="$1" day="$2" seed="$3" report output row entry
  row="$results/$(basename "$site" .toml).$(basename "$day" .toml).$seed"
  report="$row.json"
  output="$row.out"
  "$bench" run "$site" "$day" --seed "$seed" --jobs 1 --why "$why" \
    --report "$report" > "$output" 2>&1 || true
  entry="$(sed -n 's/^snapshot //p' "$output" | tail -n 1)"
  python3 "$here/row.py" "$report" "$(basename "$site" .toml)" \
    "$(basename "$day" .toml)" "$seed" "${entry:--}" "$output" > "$row.row"
  cat "$row.row"
}
export -f play_one
export bench why here results

cd "$repository"
"$bench" build > "$results/build.out" 2>&1 || { cat "$results/build.out" >&2; exit 1; }
header='| site | day | seed | broken rules | gate | journal |'
printf '%s\n| --- | --- | --- | --- | --- | --- |\n' "$header"
for site in "${sites[@]}"; do
  for day in "$here"/$pattern.toml; do
    for seed in "${seeds[@]}"; do
      printf '%s\0%s\0%s\0' "$site" "$day" "$seed"
    done
  done
done | xargs -0 -n 3 -P "$jobs" bash -c 'play_one "$@"' play_one

if [ -n "$table" ]; then
  { printf '%s\n| --- | --- | --- | --- | --- | --- |\n' "$header"
    sort "$results"/*.row
  } > "$table"
fi
total="$(cat "$results"/*.row | wc -l)"
broken="$(grep -Lc '| none | passed |' "$results"/*.row | wc -l || true)"
echo "$broken of $total days broke a rule, failed the gate or gave no report"
[ "$broken" -eq 0 ]
