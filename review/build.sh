#!/usr/bin/env bash
# Builds the stand-ins of all cases. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
rustc --edition 2021 -O -o target/stand stand/main.rs
