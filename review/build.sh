#!/bin/sh
# Builds the stand-ins and the cases' players, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -D warnings -o target/review/stand-ins review/stand-ins/main.rs
