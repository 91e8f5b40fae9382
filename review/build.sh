#!/bin/sh
# Builds the stand-ins of the cases: one program, from the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
exec rustc --edition 2021 -O -o bin/stand-ins stand-ins/main.rs
