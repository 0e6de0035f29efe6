#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start, into target/review-2. It needs no network: they use Go's standard
# library alone.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review-2
go build -buildvcs=false -o ../../target/review-2/stand-2 .
