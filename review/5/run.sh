#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the programs in target/ and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/rig late review/5
