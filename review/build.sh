#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They use the standard library alone, so this needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
