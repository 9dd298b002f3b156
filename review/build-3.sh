#!/usr/bin/env bash
# Builds the driver of the third review's scripts, with its stand-ins for the platform, workers
# and requesters. The deploy file builds the product itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3/ ./review/driver3
