#!/usr/bin/env bash
# Plays the case on loopback addresses and writes record.txt. Exit code: 1 the rule was broken, 0 it held, 2 the
# case could not run. TROUBLE=0 leaves the disruption out. Build first: the deploy file, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 118 target/review-2/stand2 turned review/10/record.txt
code=$?
case $code in 0 | 1) exit $code ;; esac
exit 2
