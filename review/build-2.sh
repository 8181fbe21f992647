#!/bin/sh
# Builds the stand-ins of the cases from 6 on. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for dir in review/6/testdata review/7/testdata review/8/testdata review/9/testdata review/10/testdata; do
  [ -d "$dir" ] || continue
  go build -o "review/bin/case$(basename "$(dirname "$dir")")" "./$dir"
done
