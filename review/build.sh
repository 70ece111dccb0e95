#!/usr/bin/env bash
# Builds the stand-ins of the cases. The programs of the deploy file are built before.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline \
    --manifest-path review/stand-in/Cargo.toml
