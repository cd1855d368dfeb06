#!/bin/sh
# Case 10 (DRAIN): exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review2-rig && test -x target/rosemaryhatch-node || { echo "build first: the command of deploy/system.toml, review/build-2.sh"; exit 2; }
exec target/review2-rig unkept review/10
