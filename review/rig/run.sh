#!/usr/bin/env bash
# Runs one case: run.sh NUMBER TROUBLE. With TROUBLE 0 the disruption is left out. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
number=$1
trouble=$2
cd "$root" || exit 2
# The commands of the deploy file.
command_of() { awk -v role="[roles.$1]" '$0 == role {on = 1; next} /^\[/ {on = 0} on && /^run = / {gsub(/^run = "|"$/, ""); print}' deploy/system.toml; }
program=target/review/case-$number
front=$(command_of entry)
reporter=$(command_of reporter)
for needed in "$program" "${front%% *}" "${reporter%% *}"; do
    if [ ! -x "$needed" ]; then
        echo "$needed is not built" >&2
        exit 2
    fi
done
work=$(mktemp -d)
TROUBLE=$trouble timeout -k 5 115 "$program" "$front" "$reporter" "$work" "review/$number/record.txt"
code=$?
if [ "$code" -gt 1 ]; then
    tail -n 20 "$work"/*.out >&2
    code=2
fi
[ -n "${KEEP:-}" ] && cp -r "$work"/. "$KEEP"
rm -rf "$work"
exit "$code"
