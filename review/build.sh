#!/bin/sh
# Builds the program that plays the cases; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o review/target/scene ./review/scene
