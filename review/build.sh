#!/usr/bin/env bash
# Builds the cases' programs, which contain all stand-ins, into target/review. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
for n in 1 2 3; do
  if [ -f "$n/main.go" ]; then
    GOWORK=off go build -buildvcs=false -o "../target/review/case$n" "./$n"
  fi
done
