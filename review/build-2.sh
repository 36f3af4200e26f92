#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings --crate-name case_runner -o target/review-2/case-runner review/standin-2/main.rs
