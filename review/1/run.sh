#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$here/driver"
[ -x "$program" ] && [ -x "$root/target/bambootack-gateway" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" "$root" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
