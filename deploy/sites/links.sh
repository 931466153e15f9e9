#!/usr/bin/env bash
# Links the three files that the bench wants beside a deployment's file, from the kit beside this repository. They are
# never copied and never committed. With no kit there it says so and ends with 1.
set -euo pipefail
cd "$(dirname "$0")"
kit=../../../given/kit/sites
for name in real.json wire.json unlock.txt; do
	[ -e "$kit/$name" ] || { echo "no $name in $kit: is the kit beside this repository?" >&2; exit 1; }
	ln -sfn "$kit/$name" "$name"
done
