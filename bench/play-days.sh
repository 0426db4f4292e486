#!/usr/bin/env bash
# Plays the project's own days of trouble on a site and prints one line a day,
# with what was broken. Usage: bench/play-days.sh FLEETBENCH SITE WHY [DAY...]
set -euo pipefail
cd "$(dirname "$0")/.."

readonly fleetbench=$1 site=$2 why=$3
shift 3
days=("$@")
[ "${#days[@]}" -gt 0 ] || days=(bench/days/*.toml)

play() {
	local output
	output=$("$1" run "$2" "$4" --why "$3" 2>&1) || true
	grep -E "^$(basename "$4" .toml) " <<<"$output" || { echo "$(basename "$4"): not played"; head -5 <<<"$output"; }
	grep -E 'BROKEN|^ *(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|CONFIG|ROUTE|DRAIN|LOST|ORDER|RECOVER|ONE|STALE|VERSION|Fault)\b' <<<"$output" || true
}
export -f play
printf '%s\0' "${days[@]}" | xargs -0 -P 6 -I{} bash -c 'play "$@"' _ "$fleetbench" "$site" "$why" {}
