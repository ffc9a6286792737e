#!/usr/bin/env bash
# Builds the stand-ins that the scripts below review/ start. Run it from anywhere, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin ./review/platform/standin
