#!/bin/sh
# Builds the rig of the second review, which holds the stand-ins of its scripts. It needs no network: the rig has no dependencies.
set -e
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS= go build -o ../../target/review-2/rig .
