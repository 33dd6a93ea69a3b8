#!/bin/bash
# Runs the case; build the deploy file's program and review/build-2.sh first. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
program=target/review-2/release/review-case-2
if [ ! -x "$program" ] || [ ! -x "${run%% *}" ]; then
    echo "could not run: not built"
    exit 2
fi
STARTED=$(mktemp) || exit 2
export STARTED
"$program" close-looks review/4 "$PWD" "$run" &
case=$!
trap 'kill -9 "$case" $(cat "$STARTED") 2>/dev/null; rm -f "$STARTED"; exit 2' INT TERM
wait "$case"
result=$?
rm -f "$STARTED"
exit "$result"
