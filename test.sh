#!/usr/bin/env bash
# Build, format check, lint, tests: the whole verdict on a tree.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --all-targets --locked
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
