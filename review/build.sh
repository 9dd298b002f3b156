#!/usr/bin/env bash
# Builds what the scripts of the review start besides the system itself.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-driver ./review/driver
