#!/usr/bin/env bash
# Everything that has to hold before a change lands: format, lints, tests, docs, the library alone, and that each risk a
# postmortem leaves open has an issue or a test. Tests that
# KNOWN-RED.txt names, if it is there, are run apart and have to fail, unless they are marked as unsteady; see .ci/known-red.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all -- --check
cargo clippy --locked --workspace --all-targets --all-features -- -D warnings
cargo clippy --locked -p wharfhitch --lib --no-default-features -- -D warnings
.ci/open-risks
red=$(.ci/known-red skips)
# shellcheck disable=SC2086 # words of their own
cargo test --locked --profile work --workspace -- $red
.ci/known-red check
RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps
