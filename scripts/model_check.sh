#!/usr/bin/env bash
# Checks every Promela specification in models/ and requires that each of its
# mutations is rejected. A mutation is named by a macro in the line
# "MUTATIONS: A B C" of the specification.
set -euo pipefail
cd "$(dirname "$0")/.."

run_spin() { # specification, extra macro ("" for none); succeeds if no error
  local work
  work=$(mktemp -d)
  cp "$1" "$work/model.pml"
  (cd "$work" && spin ${2:+-D"$2"} -a model.pml >/dev/null &&
    gcc -O2 -DSAFETY -DMEMLIM=2048 -DCOLLAPSE -w -o pan pan.c &&
    ./pan -m1000000 >out.txt 2>&1) || { cat "$work/out.txt" 2>/dev/null; rm -rf "$work"; return 2; }
  local ok=1
  grep -q 'errors: 0' "$work/out.txt" && ! grep -q 'Search not completed\|max search depth too small' "$work/out.txt" && ok=0
  grep -E 'states, stored|errors:' "$work/out.txt" | tr '\n' ' '
  rm -rf "$work"
  return $ok
}

failed=0
for model in models/*.pml; do
  [ -e "$model" ] || { echo "no models"; exit 0; }
  if result=$(run_spin "$model" ""); then echo "$model: holds. $result"; else echo "$model: FAILS. $result"; failed=1; fi
  for mutation in $(sed -n 's/.*MUTATIONS: *\([A-Z_ ]*\).*/\1/p' "$model"); do
    if result=$(run_spin "$model" "$mutation"); then
      echo "$model with $mutation: NOT rejected. $result"
      failed=1
    else
      echo "$model with $mutation: rejected."
    fi
  done
done
exit $failed
