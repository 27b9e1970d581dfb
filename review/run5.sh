#!/bin/sh
# Runs a case five times, and twice without its disruption; prints the statuses. Usage: run5.sh N
cd "$(dirname "$0")" || exit 2
for number in 1 2 3 4 5; do sh "$1/run.sh"; echo "run $number: $?"; done
for number in 1 2; do TROUBLE=0 sh "$1/run.sh"; echo "run $number without trouble: $?"; done
