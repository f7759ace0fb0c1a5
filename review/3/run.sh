#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
case=$root/target/review/keyed_repeat
[ -x "$case" ] && [ -x "$root/target/release/molelug" ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
export TROUBLE=${TROUBLE:-1}
timeout --kill-after=5 110 "$case" "$root" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
