#!/usr/bin/env bash
# Builds the programs of the review cases 11 to 15, which hold all their stand-ins, into build/review-3. The project's
# own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/1[1-5]/main.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-3/case-$name" "$source" &
done
for job in $(jobs -p); do
    wait "$job"
done
