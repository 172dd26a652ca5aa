#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
go build -o bin/rig2 ./fakes/rig2
