#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/app ] || exit 2
export TROUBLE="${TROUBLE:-1}"
python3 -c 'import review.standins.deployment' || exit 2
exec python3 -m review.1.case
