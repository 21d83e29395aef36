#!/bin/sh
# Builds the program that the scripts of cases 6 to 10 start. It needs the compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/trial review/trial-2/main.rs
