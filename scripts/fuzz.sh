#!/bin/sh
# Fuzzes each decoder of what other processes write, with FUZZTIME inputs each.
# New failures are written to testdata/fuzz of the package; commit them with the fix.
# FUZZTIME can also be a time such as 60s. Then go test fails now and then with "context
# deadline exceeded" and no input: its coordinator may see the end of the time before its
# own context has ended, and takes it for an error.
set -eu
mkdir -p run
for package in $(go list -f '{{if .TestGoFiles}}{{.ImportPath}}{{end}}' ./...); do
	for target in $(go test -list '^Fuzz' "$package" | grep '^Fuzz' || true); do
		echo "fuzz $package $target"
		go test -run '^$' -fuzz "^$target\$" -fuzztime "${FUZZTIME:-50000x}" "$package" >run/fuzz.log 2>&1 || {
			cat run/fuzz.log
			exit 1
		}
	done
done
