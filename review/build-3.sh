#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to 15 start. Without a network; the project's programs are built as the deploy file
# says, into target/.
set -eu
cd "$(dirname "$0")/three"
GOWORK="$PWD/go.work" GOFLAGS=-mod=readonly go build -o bin/ ./cmd/...
