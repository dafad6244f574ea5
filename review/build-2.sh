#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library alone. The proxy is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
