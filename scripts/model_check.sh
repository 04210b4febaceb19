#!/usr/bin/env bash
# Checks every Promela specification in models/ with Spin and requires that the
# check fails for each mutation of the specification. The line "MUTATIONS: A B C"
# of a specification lists the macros that enable its mutations.
set -euo pipefail
cd "$(dirname "$0")/.."

# Prints "holds", "violated" or "broken" and the statistics of the search. A
# model that does not compile or whose search is incomplete is "broken", so that
# it neither passes nor counts as a rejected mutation.
verify_model() { # specification, mutation macro ("" for none)
  local work verdict=broken
  work=$(mktemp -d)
  cp "$1" "$work/model.pml"
  if (cd "$work" && spin ${2:+-D"$2"} -a model.pml >spin.txt 2>&1 &&
    gcc -O2 -DSAFETY -DMEMLIM=2048 -DCOLLAPSE -w -o pan pan.c &&
    ./pan -m1000000 >out.txt 2>&1); then :; fi
  if ! grep -q 'State-vector' "$work/out.txt" 2>/dev/null; then
    verdict=broken
  elif grep -q '^pan:[0-9]*: assertion violated' "$work/out.txt"; then
    verdict=violated
  elif grep -q 'errors: 0' "$work/out.txt" &&
    ! grep -q 'Search not completed\|max search depth too small' "$work/out.txt"; then
    verdict=holds
  fi
  echo "$verdict $(grep -E 'states, stored|errors:' "$work/out.txt" 2>/dev/null | tr '\n' ' ')"
  rm -rf "$work"
}

check_verdict() { # specification, mutation ("none" for the specification itself)
  local expected=violated result
  if [ "$2" = none ]; then
    expected=holds
    result=$(verify_model "$1" "")
  else
    result=$(verify_model "$1" "$2")
  fi
  echo "$1 with $2: $result"
  [[ $result == $expected* ]]
}

export -f verify_model check_verdict
for model in models/*.pml; do
  for mutation in none $(sed -n 's/.*MUTATIONS: *\([A-Z_ ]*\).*/\1/p' "$model"); do
    echo "$model $mutation"
  done
done | xargs -P 8 -L 1 bash -c 'check_verdict "$0" "$1"'
