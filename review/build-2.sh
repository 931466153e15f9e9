#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, into review/bin.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && go build -buildvcs=false -o review/bin/standin2 ./review/standin2
