#!/usr/bin/env bash
# Installs everything the build, the tests and the lint need on Debian 12. Run as root.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
packages=(
  g++ cmake make ninja-build ccache mold
  libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev
  libcli11-dev libgoogle-glog-dev librange-v3-dev libcereal-dev libxxhash-dev libssl-dev
  prometheus-cpp-dev libyaml-cpp-dev
  libgtest-dev libgmock-dev libbenchmark-dev
  clang-format clang-tidy black flake8 shfmt shellcheck gnuplot-nox curl
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
