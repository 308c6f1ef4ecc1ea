#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Run it after the build of the deploy file; it needs no network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root" && go build -o target/review-standin ./cmd/standin
cd "$root/review/rig" && go build -o "$root/target/review-rig" .
