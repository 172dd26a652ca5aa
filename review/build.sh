#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
go build -o bin/rig ./fakes/rig
