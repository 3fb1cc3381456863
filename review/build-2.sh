#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-2
mkdir -p "$out"
for source in "$root"/review/stand-ins-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$(basename "$source" .cpp)" "$source" &
done
wait
for source in "$root"/review/stand-ins-2/*.cpp; do
    [ -x "$out/$(basename "$source" .cpp)" ]
done
