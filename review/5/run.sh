#!/usr/bin/env bash
# All core machines are replaced and then lose power. TROUBLE=0 leaves both out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$here/../.." && pwd)
for program in target/stoathitchd-platform target/review/case5; do
  [[ -x $repository/$program ]] || { echo "$program is not built" >&2; exit 2; }
done
cd "$repository" || exit 2
exec target/review/case5 "$repository/target/stoathitchd-platform" "$repository" "$here/record.txt"
