#!/usr/bin/env bash
# Plays the case "power"; see claim.txt.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec target/standin power "$here"
