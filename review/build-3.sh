#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/scene-3"
go build -buildvcs=false -o ../../target/review-3/scene3 .
