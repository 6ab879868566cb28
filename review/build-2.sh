#!/usr/bin/env bash
# Builds the program of the second review's scripts, with all of its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -C review/second -o ../../target/review-2 .
