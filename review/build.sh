#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin/. The daemon itself is built with the
# command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../bin/standin .
