#!/bin/sh
# Cuts a draining engine off from the store for 5 s. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standins ] || exit 2
exec target/review-2/standins draining review/7
