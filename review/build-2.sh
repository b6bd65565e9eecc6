#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, from this repository alone. Run it from anywhere, after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-2/rig .
