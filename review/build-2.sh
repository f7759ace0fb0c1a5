#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program, of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O --crate-name review_2 -o target/review-2/review-2 review/standins-2/main.rs
