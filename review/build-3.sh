#!/bin/sh
# Builds the stand-ins of the cases of the third review into target/. The daemon itself is built by the deploy file's build line.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/third/...
