#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases 4 to 6, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/rig2 ./review/rig2
