#!/bin/sh
# Runs the script of each case named (numbers) five times, and once with TROUBLE=0.
cd "$(dirname "$0")"
for number in "$@"; do
    broken=0
    for run in 1 2 3 4 5; do
        sh "$number/run.sh" > /dev/null 2>&1
        status=$?
        [ "$status" = 1 ] && broken=$((broken + 1))
        [ "$status" = 2 ] && echo "case $number, run $run: could not run"
    done
    cp "$number/record.txt" "$number/record.keep"
    TROUBLE=0 sh "$number/run.sh" > /dev/null 2>&1
    echo "case $number: broken in $broken of 5; with TROUBLE=0 exit status $?"
    mv "$number/record.keep" "$number/record.txt"
done
