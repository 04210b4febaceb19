#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail

PACKAGES=(
  cmake ninja-build ccache g++ clang-format clang-tidy pkg-config
  libhttp-parser-dev libfmt-dev libasio-dev libwebsocketpp-dev nlohmann-json3-dev
  libcurl4-openssl-dev libdocopt-dev liblog4cxx-dev libabsl-dev
  libcppunit-dev libboost-dev libboost-system-dev libxxhash-dev libssl-dev
  librapidcheck-dev zlib1g-dev spin python3
)

missing=()
for package in "${PACKAGES[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
