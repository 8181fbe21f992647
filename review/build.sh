#!/bin/sh
# Builds the stand-ins of the cases. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for dir in review/[0-9]*/testdata; do
  n=$(basename "$(dirname "$dir")")
  go build -o "review/bin/case$n" "./$dir"
done
