#!/usr/bin/env bash
# Plays case 4 and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 the disruption is left out.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/eelgrass-gateway target/review/standin; do
	[ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
done
exec timeout -k 5 115 target/review/standin gone-server-after-freeze "review/4/record.txt"
