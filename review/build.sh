#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. Needs g++ and the headers of nlohmann-json3-dev, which
# the build of the deploy file needs too.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for name in store backend client; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I stand_ins -o "bin/$name" \
        "stand_ins/$name.cpp" stand_ins/net.cpp
done
