#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the tier itself: one program with the stand-ins of clients, backends, the
# platform's list and the operator. It has no dependencies, so that it needs no network.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../target/review-harness .
