#!/bin/sh
# Runs the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it leaves
# out the disruption. Run the build of deploy/balancer.toml and review/build-2.sh before.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
for program in "$root/bin/foldslip" "$root/bin/foldslip-extproc" ../bin/case9; do
  [ -x "$program" ] || { echo "$program is missing: build first"; exit 2; }
done
exec ../bin/case9 "$root" "$PWD"
