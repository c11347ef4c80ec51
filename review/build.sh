#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts under review/ start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/rig
