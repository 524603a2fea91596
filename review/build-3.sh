#!/usr/bin/env bash
# Builds the experiments of the second sitting; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand_in_3/Cargo.toml --target-dir target/review-3
