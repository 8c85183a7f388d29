#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10, into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/agent-restarted review/standins-2/agent_restarted.rs
rustc --edition 2021 -O -o target/review-2/registrations-lost review/standins-2/registrations_lost.rs
