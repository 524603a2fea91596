#!/usr/bin/env bash
# Builds the experiments of the second sitting; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand_in_3/Cargo.toml --target-dir target/review-3

# Builds the stand-ins of the cases 11 to 14.
rustc --edition 2024 -O -o target/stand-in-4 review/stand_in_4/main.rs
