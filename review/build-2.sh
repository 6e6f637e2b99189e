#!/usr/bin/env bash
# Builds the stand-ins of the second review (cases 6 and later) into target/review-2/.
# Needs g++ only; the entry program comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
