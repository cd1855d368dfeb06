#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin. They need Go and nothing else.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../bin/cases .
