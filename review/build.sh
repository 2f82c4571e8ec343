#!/bin/sh
# Builds the stand-ins that the cases under review/ start. The daemons are built by the command in deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standins ./review/standins
