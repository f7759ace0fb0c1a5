#!/usr/bin/env bash
# Builds the stand-ins of this review into target/review, with the Rust tool chain alone and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = common ] || rustc --edition 2021 -O -A warnings -o "target/review/$name" "$source"
done
