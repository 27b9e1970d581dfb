#!/bin/sh
# Runs the script of each case named (numbers) five times, and twice with TROUBLE=0. The record of
# the last run with the disruption stays.
cd "$(dirname "$0")" || exit 2
for number in "$@"; do
    statuses=
    for run in 1 2 3 4 5; do
        "./$number/run.sh" > /dev/null 2>&1
        statuses="$statuses $?"
    done
    cp "$number/record.txt" "$number/record.keep"
    calm=
    for run in 1 2; do
        TROUBLE=0 "./$number/run.sh" > /dev/null 2>&1
        calm="$calm $?"
    done
    mv "$number/record.keep" "$number/record.txt"
    echo "case $number:$statuses; with TROUBLE=0:$calm"
done
