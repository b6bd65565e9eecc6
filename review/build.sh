#!/bin/sh
# Builds the stand-ins of the scripts, without a network: a module of its own that uses the standard library alone.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../.bin/standin .
