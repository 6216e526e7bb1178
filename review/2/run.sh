#!/bin/sh
# Accepted jobs wait for ever, with all workers free, behind a gang of another tenant that can never
# be done.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. The build of the deploy file and review/build.sh come first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fireflyfold ] && [ -x target/review/standin ] || exit 2
exec target/review/standin wide-gang review/2
