#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/jayridge ] || exit 2
exec target/review-standin late-streams target/jayridge "review/4/record.txt"
