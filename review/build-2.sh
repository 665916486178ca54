#!/usr/bin/env bash
# Builds the programs of the second review's scripts, with the stand-ins that they hold. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
for dir in review/6 review/7 review/8 review/9 review/10; do
	if [ -f "$dir/main.go" ]; then
		go build -o "target/review-2/case-${dir#review/}" "./$dir"
	fi
done
