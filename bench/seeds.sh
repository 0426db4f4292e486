#!/usr/bin/env bash
# Plays one day under several seeds and prints the mean worth, the served share
# and the mean of each kind's p50 and p99 in ms.
# Usage: bench/seeds.sh FLEETBENCH SITE DAY SEEDS WHY
# Processor time is not charged, so that a run mostly repeats.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly fleetbench=$1 site=$2 day=$3 seeds=$4 why=$5

play() {
	"$1" run "$2" "$3" --seed "$5" --no-cpu --why "$4" 2>&1 | awk -v seed="$5" -v day="$(basename "$3" .toml)" '
		$1 == day && $2 ~ /\// { line = "seed " seed " worth " $4 " served " $5 }
		NF == 10 && $2 ~ /^[0-9]+$/ && $1 !~ /^[0-9]/ && !zones { line = line " " $1 " " $9 " " $10 }
		/clients. zone/ { zones = 1 }
		/steps asked/ { line = line " behind " $2 $3 $8 }
		/BROKEN/ { line = line " BROKEN" }
		END { print line }'
}
export -f play
seq 1 "$seeds" | xargs -P 6 -I{} bash -c 'play "$@"' _ "$fleetbench" "$site" "$day" "$why" {} | sort -V |
	tee /dev/stderr | awk '
		{ n++; worth += $4; served += $6; for (i = 7; i + 2 <= NF && $i != "behind"; i += 3) { p50[$i] += $(i + 1); p99[$i] += $(i + 2) } }
		END { printf "mean of %d: worth %.3f served %.3f", n, worth / n, served / n; for (k in p50) printf " %s %.0f %.0f", k, p50[k] / n, p99[k] / n; print "" }'
