#!/usr/bin/env bash
# Builds the stand-ins of the scripts below review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/twice ./review/3/standin
