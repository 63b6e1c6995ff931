#!/bin/bash
# Builds the programs of the cases 6 and later into target/review-2, with the libraries and packages of the deploy
# file's build, which must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -g -I. -Ireview/common-2)
shared=(lovagecross/testing/ScriptedServer.cpp lovagecross/testing/TcpForwarder.cpp
    lovagecross/testing/ProcessHarness.cpp)
libraries=(target/lovagecross/config/liblovagecross_config.a target/lovagecross/base/liblovagecross_base.a
    -lPocoNet -lPocoJSON -lPocoFoundation -lpthread)
for folder in review/[0-9]*/; do
    number=$(basename "$folder")
    ((number >= 6)) && [ -f "$folder/main.cpp" ] || continue
    if grep -q common-3/Lab.h "$folder/main.cpp"; then # needs the standard library only
        g++ -std=c++20 -O1 -g -pthread "$folder/main.cpp" -o "target/review-2/case-$number"
    else
        g++ "${flags[@]}" "$folder/main.cpp" "${shared[@]}" -o "target/review-2/case-$number" "${libraries[@]}"
    fi
done
