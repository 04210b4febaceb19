#!/usr/bin/env bash
# Runs the tests of a build folder. The verdict is that of every test which
# KNOWN-RED.txt doesn't list. The listed ones run afterwards and their result
# is printed. An entry is an unindented line whose first word, up to ':', is the
# ctest name; a name that ctest doesn't know is an error.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?usage: run_tests.sh BUILD_FOLDER}

known=$(ctest --test-dir "$build" -N | sed -n 's/^ *Test *#[0-9]*: //p')
[ -n "$known" ] || { echo "no tests in $build" >&2; exit 1; }
red=$(sed -n 's/^\([A-Za-z0-9_]\{1,\}\).*/\1/p' KNOWN-RED.txt)
for name in $red; do
  grep -qxF -- "$name" <<<"$known" ||
    { echo "KNOWN-RED.txt lists $name, which is not a test" >&2; exit 1; }
done

if [ -z "$red" ]; then
  ctest --test-dir "$build" --output-on-failure -j 8
  exit
fi
pattern="^($(paste -sd '|' <<<"$red"))\$"
ctest --test-dir "$build" --output-on-failure -j 8 -E "$pattern"
echo "== known to fail, from KNOWN-RED.txt"
for name in $red; do
  if ctest --test-dir "$build" --output-on-failure -R "^$name\$"; then
    echo "$name: passed; remove it from KNOWN-RED.txt"
  else
    echo "$name: failed as listed"
  fi
done
