#!/bin/sh
# Builds the stand-ins of the cases in review/11 to review/15, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin review/standin-3/main.rs
