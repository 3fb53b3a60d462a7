#!/bin/sh
# Builds the stand-ins that the scripts start; they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/rig review/tests/rig/main.rs
