#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review/release/review-standins
if [ ! -x "$program" ] || [ ! -x target/release/olivelatch ]; then
  echo "build first: the build of deploy/service.toml, then review/build.sh" >&2
  exit 2
fi
exec "$program" together review/3/record.txt
