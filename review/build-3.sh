#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and up; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand_in_3/Cargo.toml --target-dir target/review-3
