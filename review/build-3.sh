#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts, into target/review-3. It needs no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin-3"
mkdir -p ../../target/review-3
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -trimpath -buildvcs=false -o ../../target/review-3/standin3 .
