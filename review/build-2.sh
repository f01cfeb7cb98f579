#!/usr/bin/env bash
# Builds the stand-ins of the cases that have a script. Run it after the build of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/two"
GOWORK=$PWD/go.work GOFLAGS=-mod=readonly go build -o bin/ ./cmd/...
