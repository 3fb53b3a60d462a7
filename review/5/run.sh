#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. Build first: the deploy file's build, review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/carobwheel ] && [ -x target/review/rig ] || { echo "not built"; exit 2; }
exec target/review/rig leaving-header review/5
