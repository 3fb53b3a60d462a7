#!/bin/sh
# Stops and starts all machines in turn while streams run. See claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption: no machine is stopped.
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
exec target/review-2/standins restarts review/6 "$disruption"
