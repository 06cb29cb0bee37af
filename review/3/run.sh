#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
[ -x "$root/target/pearyard-entry" ] && [ -x "$root/target/review-badversion" ] || exit 2
exec timeout -k 3 115 "$root/target/review-badversion" "$root" "$here"
