#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start. Needs only Go: the program has no dependencies.
set -eu
cd "$(dirname "$0")/rig2"
go build -buildvcs=false -o ../../target/review2-rig .
