#!/bin/sh
# Builds the stand-ins of the second review. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec go build -o target/review-2 ./review/standin2
