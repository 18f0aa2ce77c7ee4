#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. With TROUBLE=0 the
# disruption is left out. What was sent, answered and run is written to record.txt.
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/hyssoppitch ] && [ -x target/review-world ] || { echo "not built: run the build line of deploy/system.toml and review/build.sh"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/review-world split "$folder"
