#!/usr/bin/env bash
# Runs a case in its own process group, which ends with it. Usage: run.sh CASE TROUBLE FOLDER
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
trial="$root/target/review-3/trial"
program="$root/target/release/jasminepond"
if [ ! -x "$trial" ] || [ ! -x "$program" ]; then
    echo "build the program and review/build-3.sh first" >&2
    exit 2
fi
set -m
"$trial" "$1" "$2" "$program" "$3/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
exit $?
