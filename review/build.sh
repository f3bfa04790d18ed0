#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The program of the deploy file is built before.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cargo build --release --locked --offline \
    --manifest-path "$root/review/standin/Cargo.toml" --target-dir "$root/target/review"
