#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They have no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
