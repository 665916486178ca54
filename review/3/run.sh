#!/usr/bin/env bash
# The store comes back from a copy while all machines lose power: a window's usage is reported twice.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/geraniumd ] && [ -x target/review/harness ] || {
	echo "build target/geraniumd and review/build.sh first" >&2
	exit 2
}
exec target/review/harness -case usage-after-copy -record review/3/record.txt
