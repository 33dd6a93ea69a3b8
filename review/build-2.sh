#!/bin/bash
# Builds the stand-ins that the cases 4 to 8 start. Run it after the build of the deploy file; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
