#!/usr/bin/env bash
# Everything that has to hold before a change lands: format, lints, tests, docs, the library alone.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all -- --check
cargo clippy --locked --workspace --all-targets --all-features -- -D warnings
cargo clippy --locked -p wharfhitch --lib --no-default-features -- -D warnings
cargo test --locked --profile work --workspace
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps
