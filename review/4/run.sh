#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/figstair ] && [ -x review/build/world ] || exit 2
folder=$(mktemp -d) || exit 2
review/build/world cold-start target/figstair "$folder" review/4/record.txt "${TROUBLE:-1}" &
world=$!
trap 'kill "$world" 2> /dev/null' TERM INT
wait "$world"
status=$?
if [ "$status" -gt 128 ]; then
    wait "$world"
    status=2
fi
rm -rf "$folder"
exit "$status"
