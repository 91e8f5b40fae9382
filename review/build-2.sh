#!/bin/sh
# Builds all that the scripts of the second review start, beside what the deploy file builds: their stand-ins, which need the
# standard library alone. Run from anywhere, without a network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
