#!/usr/bin/env bash
# Builds every stand-in that the scripts under review/ start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-tools ./review/tools
