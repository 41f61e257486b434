#!/usr/bin/env bash
# Builds the review's stand-ins, and the system as deploy/system.toml does where that was not done.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/madderway ] || [ -n "$(find cmd client core handlers models modules platform router services -name '*.go' -newer target/madderway -print -quit)" ]; then
	go build -ldflags=-linkmode=external -o target/ ./cmd/madderway
fi
go build -C review/standins -o ../bin/standins .
