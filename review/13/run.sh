#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.."
program=target/review-3/release/review-stand-in-3
test -x "$program" && test -x target/release/dotterelpin-platform || exit 2
exec "$program" fields . review/13/record.txt
