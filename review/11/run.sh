#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin ] && [ -x target/release/marigoldusher-node ] || exit 2
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec target/review-3/standin late_copy review/11/record.txt
