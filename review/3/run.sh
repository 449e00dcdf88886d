#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/release/platform ] || { echo "build first: cargo build --release --locked -p platform" >&2; exit 2; }
[ -x target/review/standins ] || bash review/build.sh || exit 2
exec target/review/standins spoiled "$here/record.txt"
