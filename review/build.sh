#!/bin/sh
# Builds the stand-ins that the scripts start. They need the standard library only.
set -eu
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-buildvcs=false go build -o bin/ ./cmd/...
