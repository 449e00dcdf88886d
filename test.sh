#!/usr/bin/env bash
# Build, format check, lint, tests: the whole verdict on a tree.
set -euo pipefail
cd "$(dirname "$0")"
# What is shipped must not contain the switch that lets tests break a rule.
cargo build -p sorreldoor --locked
if grep -q SORRELDOOR_BREAK "${CARGO_TARGET_DIR:-target}/debug/sorreldoor"; then
  echo "the shipped program contains the switch of the mutants" >&2
  exit 1
fi
cargo build --workspace --all-targets --locked
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
