#!/bin/bash
# Builds the programs of the second review's cases into target/.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target
exec go build -o target/ ./review/second/...
