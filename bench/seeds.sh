#!/usr/bin/env bash
# Plays one day under several seeds and prints, for each, worth, the share served,
# steps asked, how late the last one was, and the mean time of a step in ms (from the
# nodes' logs, see sliplift explain --steps); at last the means. A day's worth jumps
# with its last step; the time of a step does not.
# Usage: bench/seeds.sh FLEETBENCH SITE DAY SEEDS WHY [cpu]
# Processor time is not charged, so that a run mostly repeats; with cpu it is.
# JOBS in the environment is the number of days at a time, 6 without.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly fleetbench=$1 site=$2 day=$3 seeds=$4 why=$5 cpu=${6:-}
readonly first_seed=1001
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
go build -o "$logs/sliplift" ./cmd/sliplift
charge=(--no-cpu)
[ "$cpu" != cpu ] || charge=()

play() {
	local seed=$1 log=$2/$1.log step
	shift 2
	"$@" --seed "$seed" --log all >"$log" 2>&1 || true
	step=$("$(dirname "$log")/sliplift" explain --log "$log" --steps | sed -n 's/.*end, \([0-9]*\) ms on the mean/\1/p')
	awk -v seed="$seed" -v step="${step:-0}" -v day="$day_name" '
		$1 == day && $2 ~ /\// { worth = $4; served = $5 }
		/steps asked/ {
			asked += $3; trainers++
			for (i = 1; i < NF; i++) if ($i == "s" && $(i + 1) == "behind") late += $(i - 1)
		}
		/BROKEN/ { broken = " BROKEN" }
		END { n = trainers ? trainers : 1; print seed, worth, served, asked / n, late / n, step broken }' "$log"
	rm -f "$log"
}
export -f play
day_name=$(basename "$day" .toml)
export day_name
echo 'seed worth served steps late_s step_ms'
seq "$first_seed" $((first_seed + seeds - 1)) |
	xargs -P "${JOBS:-6}" -I{} bash -c 'play "$@"' _ {} "$logs" "$fleetbench" run "$site" "$day" "${charge[@]}" --why "$why" |
	sort -n | awk '
		{ print; n++; worth += $2; served += $3; steps += $4; late += $5; step += $6 }
		END { printf "mean of %d: worth %.3f served %.3f steps %.1f late %.2f s step %.0f ms\n", n, worth / n, served / n, steps / n, late / n, step / n }'
