#!/usr/bin/env bash
# Plays the case "route" of review/fakes/rig2 and writes record.txt: exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it is played without its disruption. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x target/tarragonspur ] || [ ! -x review/bin/rig2 ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
exec review/bin/rig2 route "$here/record.txt"
