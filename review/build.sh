#!/bin/sh
# Builds the programs of the review cases: stand-ins and callers in one program a case, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/main.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case$number" "$source"
done
