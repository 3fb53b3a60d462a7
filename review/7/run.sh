#!/bin/sh
# Cuts a draining engine off from the store for 5 s. See claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption: the engine drains and exits as planned, but is not cut off.
# Build first: the deploy file's build, review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/carobwheel ] || [ ! -x target/review-2/standins ]; then
  echo "not built"
  exit 2
fi
if [ "${TROUBLE:-1}" = 0 ]; then
  disruption=without-trouble
else
  disruption=with-trouble
fi
exec target/review-2/standins draining review/7 "$disruption"
