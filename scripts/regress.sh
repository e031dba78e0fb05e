#!/bin/sh
# Plays the users' sites on their bench, to see that what was reached still holds:
# a score of each site, then days with other seeds. The bench and the site files are not
# part of this repository:
#
#	FLEETBENCH=path/to/fleetbench SITES="path/to/a.toml path/to/b.toml" make regress
#
# SITES holds the sites of the grown, further, further-grown and large deployments.
# JOBS (default 3) is the number of days that are played at once. DAYS (default 40) and
# LARGE_DAYS (default 8) are the numbers of days that are hunted on each site, the second
# for sites of 60 hosts or more. WHY goes into the journal. The output is in run/regress.
# It fails if a gate fails or a rule is broken.
set -eu
if [ -z "${FLEETBENCH:-}" ] || [ ! -x "$FLEETBENCH" ] || [ -z "${SITES:-}" ]; then
	echo "regress: skipped, FLEETBENCH and SITES don't name the bench and its sites"
	exit 0
fi
mkdir -p run/regress
failed=0
for site in $SITES; do
	name=$(basename "$site" .toml)
	score="run/regress/$name-score.txt" hunt="run/regress/$name-hunt.txt"
	"$FLEETBENCH" score "$site" --jobs "${JOBS:-3}" --why "${WHY:-regression run}" >"$score" 2>&1 || failed=1
	grep -E '^(score|GATE)|^[a-z]+-[0-9a-f]+ .*/' "$score" || true
	if ! grep -q '^GATE passed' "$score"; then
		echo "regress: $name: the gate is not passed, see $score"
		failed=1
	fi
	# The second column of a day is the number of hosts of the system.
	hosts=$(awk '$2 ~ "/" {split($2, n, "/"); if (n[1] > most) most = n[1]} END {print most + 0}' "$score")
	days=${DAYS:-40}
	if [ "$hosts" -ge 60 ]; then
		days=${LARGE_DAYS:-8}
	fi
	"$FLEETBENCH" hunt "$site" --days "$days" --jobs "${JOBS:-3}" --why "${WHY:-regression run}" >"$hunt" 2>&1 || failed=1
	tail -3 "$hunt"
	if ! grep -qE '(^| )0 (of [0-9]+ days|days) ' "$hunt"; then
		echo "regress: $name: see $hunt for days with a broken rule"
		failed=1
	fi
done
exit "$failed"
