#!/usr/bin/env bash
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 no process is killed.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[[ -x target/stoathitchd-platform && -x target/review/twice ]] || exit 2
trouble=true
[[ ${TROUBLE:-1} == 0 ]] && trouble=false
timeout --kill-after=5 110 target/review/twice -daemon target/stoathitchd-platform -record "$here/record.txt" "-trouble=$trouble"
status=$?
((status <= 1)) && exit "$status"
exit 2
