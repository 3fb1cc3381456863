#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in store backend client; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-3/$name.new" "review/stand-ins-3/$name.cpp"
    mv "target/review-3/$name.new" "target/review-3/$name"
done
