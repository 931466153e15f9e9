#!/usr/bin/env bash
# Plays case 3: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/lynxjunction review/bin/standin; do
	[ -x "$program" ] || { echo "$program is missing: build by deploy/balancer.toml, then review/build.sh"; exit 2; }
done
exec review/bin/standin 3 "$PWD" "$PWD/review/3/record.txt"
