#!/usr/bin/env bash
# Plays the case "hangup". Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/fireflyfold ] && [ -x target/review-standin-2 ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/review-standin-2 hangup "$here"
