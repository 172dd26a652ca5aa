#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
go build -o ../target/review3 ./fakes/rig3
