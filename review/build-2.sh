#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/second ./review/second/platform
