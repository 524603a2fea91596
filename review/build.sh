#!/bin/sh
# Builds the stand-ins that the scripts in this folder start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/stand_in/main.rs -o target/review/stand-in
