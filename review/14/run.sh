#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Run after the build of
# deploy/system.toml and review/build-3.sh.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
[ -x ../../target/camphord ] && [ -x ../../target/review-3/standin3 ] || exit 2
exec ../../target/review-3/standin3 -root ../.. -record record.txt last-tenant
