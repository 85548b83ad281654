#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. It needs no network: they use the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin3 ./review/standin3
