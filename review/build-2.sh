#!/bin/sh
# Builds what the scripts in review/6 to review/10 start beside the project's programs. It needs
# Go alone: the module has no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
GOWORK=off GOFLAGS=-mod=mod go build -C review/scenes-2 -o "$PWD/target/review-2/scenes2" .
