#!/usr/bin/env bash
# Everything that has to hold before a change lands: format, lints, tests, docs, the library alone.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all -- --check
cargo clippy --locked --all-targets --all-features -- -D warnings
cargo clippy --locked --lib --no-default-features -- -D warnings
cargo test --locked --release
RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps
