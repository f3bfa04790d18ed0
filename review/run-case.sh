#!/usr/bin/env bash
# Runs a case with the stand-ins: run-case.sh CASE RECORD. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run; the record is written in each of them. TROUBLE=0 leaves the disruption out.
set -um
root="$(cd "$(dirname "$0")/.." && pwd)"
case_name="$1"
record="$2"
# The `run` line of the deploy file, which starts at the root.
program="target/release/stairward-node"
standin="$root/target/review/release/review-standin"
echo "case $case_name, TROUBLE=${TROUBLE:-1}" > "$record" || exit 2
cd "$root"
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
    echo "could not run: build the deploy file, then review/build.sh" | tee -a "$record"
    exit 2
fi
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
# All processes of the case are in the group of this job.
timeout --kill-after=2 116 "$standin" "$case_name" "$program" "$record" &
job=$!
trap 'kill -KILL -- "-$job" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
wait "$job"
status=$?
[ "$status" -le 2 ] || status=2
echo "exit $status" >> "$record"
exit "$status"
