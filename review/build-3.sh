#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. Needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/trial review/harness-3/main.rs
