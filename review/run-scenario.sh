#!/usr/bin/env bash
# Plays one scenario in a temporary folder: run-scenario.sh SCENARIO FOLDER_OF_THE_CASE
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/target/review/scenarios"
[ -x "$program" ] && [ -x "$root/target/release/primrosestack" ] || { echo "build first"; exit 2; }
folder=$(mktemp -d) || exit 2
cd "$folder" || exit 2
"$program" "$1" "$root" "$folder" "$2/record.txt"
code=$?
[ -z "${KEEP:-}" ] && rm -rf "$folder" || echo "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
