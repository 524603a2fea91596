#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, with the standard library only. The users' build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2021 -O -o target/review-2 review/stand_in_2/main.rs
