#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the gateway of the deploy file:
# one program that plays the clients, the samplers and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2-tools ./review/tools2
