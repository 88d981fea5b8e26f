#!/usr/bin/env bash
# Installs the build and test dependencies from Debian. Safe to run twice.
set -euo pipefail

packages=(
  build-essential cmake ninja-build ccache clang-format clang-tidy git
  libboost1.81-dev libflatbuffers-dev flatbuffers-compiler libcli11-dev
  libtomlplusplus-dev libgoogle-glog-dev librapidcheck-dev libgtest-dev
  libbenchmark-dev prometheus-cpp-dev libssl-dev libxxhash-dev libfmt-dev
  openssl curl python3
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -q
  apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
