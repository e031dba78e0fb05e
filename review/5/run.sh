#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exit codes: 0 the rule held, 1 it was
# broken, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/review/target/scene" ] || exit 2
exec "$root/review/target/scene" -scene new-kind -root "$root" -record "$folder/record.txt"
