#!/usr/bin/env bash
# Installs what building and checking boragehill needs, from Debian 12.
set -euo pipefail

as_root() {
  if [ "$(id -u)" = 0 ]; then "$@"; else sudo "$@"; fi
}

as_root apt-get update
as_root apt-get install -y g++ ccache cmake ninja-build pkg-config curl clang-format clang-tidy libasio-dev libjsonrpccpp-dev libjsoncpp-dev prometheus-cpp-dev libcpp-httplib-dev libabsl-dev libgoogle-glog-dev libtomlplusplus-dev libopentracing-dev libboost-dev libboost-thread-dev libgtest-dev libgmock-dev libbenchmark-dev librapidcheck-dev libxxhash-dev libssl-dev libhttp-parser-dev clang-14 libclang-rt-14-dev
