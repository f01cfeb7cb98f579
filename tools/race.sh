#!/usr/bin/env bash
# Runs the tests of the given packages under the race detector. Tests listed in KNOWN-RED.txt, one "package Test" pair
# per entry line that starts with "test:", are skipped and their names are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=""
if [ -f KNOWN-RED.txt ]; then
	while read -r _ _ name; do
		echo "known red, passed over: $name"
		skip="${skip:+$skip|}^$name\$"
	done < <(grep '^test: ' KNOWN-RED.txt || true)
fi
exec go test -race -timeout 10m ${skip:+-skip "$skip"} "$@"
