#!/usr/bin/env bash
# Requests with a part under which engines crash after an answer's first event. TROUBLE=0 sends them with a sound part.
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x review/bin/rig ] && [ -x target/tarragonspur ] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
exec review/bin/rig first "$here/record.txt"
