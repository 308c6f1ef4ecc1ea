#!/usr/bin/env bash
# Runs all tests with the race detector; further arguments go to go test.
set -euo pipefail
cd "$(dirname "$0")"
exec go test -race -count=1 -timeout 9m "$@" ./...
