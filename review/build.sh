#!/usr/bin/env bash
# Builds the stand-ins of the cases. The programs of the system come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
go build -o target/review/ ./review/standin
