#!/usr/bin/env bash
# Checks every Promela specification in models/ and requires that each of its
# mutations is rejected. A mutation is named by a macro in the line
# "MUTATIONS: A B C" of the specification.
set -euo pipefail
cd "$(dirname "$0")/.."

# Prints "holds", "violated" or "broken" and the figures of the run. A model
# that does not compile or whose search is incomplete is broken, so that it can
# neither pass nor count as a rejected mutation.
run_spin() { # specification, extra macro ("" for none)
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

check_one() { # specification, mutation ("none" for the specification itself)
  local wanted=violated result
  if [ "$2" = none ]; then
    wanted=holds
    result=$(run_spin "$1" "")
  else
    result=$(run_spin "$1" "$2")
  fi
  echo "$1 with $2: $result"
  [[ $result == $wanted* ]]
}

export -f run_spin check_one
for model in models/*.pml; do
  for mutation in none $(sed -n 's/.*MUTATIONS: *\([A-Z_ ]*\).*/\1/p' "$model"); do
    echo "$model $mutation"
  done
done | xargs -P 8 -L 1 bash -c 'check_one "$0" "$1"'
