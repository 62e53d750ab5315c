#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2. The daemon itself is built
# by the line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -trimpath -o ../../target/review-2/ .
