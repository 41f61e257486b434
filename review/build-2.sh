#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2-scene .
