#!/usr/bin/env bash
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x review/bin/stand ] || [ ! -x target/entryd ]; then
  echo "review/build.sh or the build of deploy/system.toml has not run" >&2
  exit 2
fi
exec review/bin/stand order "$folder"
