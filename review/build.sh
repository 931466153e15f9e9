#!/usr/bin/env bash
# Builds what the cases start beside the project's own programs: one stand-in for clients, endpoints, discovery and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/standin
