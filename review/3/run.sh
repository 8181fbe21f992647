#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case3 ] || { echo "run review/build.sh first"; exit 2; }
exec ../bin/case3 "$(cd ../.. && pwd)" "$PWD/record.txt"
