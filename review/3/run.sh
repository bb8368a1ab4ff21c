#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Ends with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. KEEP=1 keeps the logs of the processes.
cd "$(dirname "$0")/../.." || exit 2
review/build.sh || exit 2
exec "${COURSELOOM_BUILD:-build}/review/case-3" review/3/record.txt
