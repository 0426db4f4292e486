#!/usr/bin/env bash
# Plays the deployments that every landing has to hold, the large ones, the grown ones
# and the two of "further", and compares the mean worth of each one's standard days
# with the figures last committed in bench/regression.txt. Prints a line for each
# deployment. Fails where a gate is failed, or where the mean is down by more than
# drop_most: figures of single days move by 0.03 and more by chance.
#
# Usage: bench/regression.sh FLEETBENCH SITES WHY [NAME...]
# SITES is the folder that holds the folders of site files. NAME limits the run to
# some deployments. ROUNDS in the environment is how often each is played (1), JOBS
# the number of days at a time (4), RECORD=1 writes the new figures in place of the
# old ones.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly fleetbench=$1 sites=$2 why=$3
shift 3
readonly drop_most=0.03 figures=bench/regression.txt
readonly rounds=${ROUNDS:-1} jobs=${JOBS:-4}
readonly set=(
	large/arcn-sliplift-large large/hysbys-lift-large
	grown/arcn-sliplift-grown grown/hysbys-lift-grown
	further/vltava-rezervace further-grown/vltava-rezervace-grown
)

# play scores one deployment and prints "MEAN GATE": the mean worth of the standard
# days over all rounds, and passed or failed.
play() {
	local site=$1 round
	for ((round = 0; round < rounds; round++)); do
		"$fleetbench" score "$sites/$site.toml" --jobs "$jobs" --why "$why" 2>&1 || true
	done | awk '
		/^(quiet|trouble|scale)-[0-9]+ +[0-9]+\/[0-9]+ / { worth += $4; days++ }
		/^GATE/ { gates++; if ($2 == "passed") passed++ }
		END { printf("%.3f %s\n", days ? worth / days : 0, (gates > 0 && gates == passed) ? "passed" : "failed") }'
}

# before prints the committed mean of a deployment, nothing if there is none.
before() { awk -v name="$1" '$1 == name { print $2 }' "$figures"; }

failed=0
played=''
for site in "${set[@]}"; do
	name=$(basename "$site")
	[ "$#" = 0 ] || [[ " $* " == *" $name "* ]] || continue
	read -r mean gate < <(play "$site")
	old=$(before "$name")
	verdict=$(awk -v mean="$mean" -v old="${old:-0}" -v most="$drop_most" -v gate="$gate" \
		'BEGIN { print((gate == "passed" && mean >= old - most) ? "held" : "LOST") }')
	printf '%-24s mean worth %s, before %s, gate %s: %s\n' "$name" "$mean" "${old:-none}" "$gate" "$verdict"
	[ "$verdict" = held ] || failed=1
	played+="$name $mean"$'\n'
done
if [ "${RECORD:-}" = 1 ]; then
	printf '%s' "$played" | awk 'NR == FNR { new[$1] = $2; next }
		$1 in new { $2 = new[$1]; delete new[$1] } { print } END { for (n in new) print n, new[n] }' - "$figures" >"$figures.new"
	mv "$figures.new" "$figures"
fi
exit "$failed"
