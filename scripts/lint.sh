#!/usr/bin/env bash
# Runs clang-tidy over the sources. Files that passed before with the same
# preprocessed text and settings are skipped, because clang-tidy takes half a
# minute for each file that includes Asio.
set -euo pipefail
cd "$(dirname "$0")/.."

cache_folder="${XDG_CACHE_HOME:-$HOME/.cache}/fulmarwinch-lint"
mkdir -p "$cache_folder"

lint_file() {
  local file=$1 cache_key output
  cache_key=$( (cat .clang-tidy; clang-tidy --version; g++ -std=c++17 -E -P -I. \
    -DASIO_STANDALONE -D_WEBSOCKETPP_CPP11_STL_ "$file" 2>/dev/null; cat "$file") | sha256sum | cut -c1-40)
  [ -e "$cache_folder/$cache_key" ] && return 0
  output=$(mktemp)
  if clang-tidy --quiet -p build/release "$file" >"$output" 2>/dev/null; then
    : >"$cache_folder/$cache_key"
    rm -f "$output"
  else
    cat "$output"
    rm -f "$output"
    return 1
  fi
}
export -f lint_file
export cache_folder
git ls-files '*.cpp' | xargs -P 8 -I{} bash -c 'lint_file {}'
