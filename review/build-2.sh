#!/usr/bin/env bash
# Builds the one program that the scripts of the second review run. It holds all of their stand-ins, and has no dependencies, so that
# it needs no network.
set -euo pipefail
cd "$(dirname "$0")/second"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-2 .
