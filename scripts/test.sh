#!/bin/sh
# Runs all tests with the race detector. Tests named in KNOWN-RED.txt (lines
# "test: NAME") are passed over and printed. -count=1 keeps cached results out,
# so that each run gives its own verdict.
set -eu
skip=""
if [ -f KNOWN-RED.txt ]; then
	skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's/.*/^&$/' | paste -sd'|' -)
fi
if [ -n "$skip" ]; then
	echo "passed over (KNOWN-RED.txt): $skip"
	set -- -skip "$skip"
fi
go test -race -count=1 -timeout 8m "$@" $(go list ./... | grep -v '/abusetest$')
# These tests measure the memory of real processes: they run apart from the others, and
# without the race detector, which would slow down their clients.
exec go test -count=1 -timeout 8m "$@" ./abusetest
