#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/case4 ./review/4/case
go build -o target/review/case6 ./review/6/case
go build -o target/review/case5 ./review/5/case
