#!/usr/bin/env bash
# Runs clang-tidy over the sources. A file whose preprocessed text and settings
# were clean before is skipped, because RESTinio units take half a minute each.
set -euo pipefail
cd "$(dirname "$0")/.."

cache="${XDG_CACHE_HOME:-$HOME/.cache}/fulmarwinch-lint"
mkdir -p "$cache"

lint_file() {
  local file=$1 key log
  key=$( (cat .clang-tidy; clang-tidy --version; g++ -std=c++17 -E -P -I. \
    -DASIO_STANDALONE -D_WEBSOCKETPP_CPP11_STL_ "$file" 2>/dev/null; cat "$file") | sha256sum | cut -c1-40)
  [ -e "$cache/$key" ] && return 0
  log=$(mktemp)
  if clang-tidy --quiet -p build/release "$file" >"$log" 2>/dev/null; then
    : >"$cache/$key"
    rm -f "$log"
  else
    cat "$log"
    rm -f "$log"
    return 1
  fi
}
export -f lint_file
export cache
git ls-files '*.cpp' | xargs -P 8 -I{} bash -c 'lint_file {}'
