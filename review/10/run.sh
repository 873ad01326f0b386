#!/bin/bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lycheehead ] || [ ! -x target/review-2/rig ]; then
	echo "not built" >&2
	exit 2
fi
exec target/review-2/rig keys review/10/record.txt
