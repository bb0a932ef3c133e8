#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
mapfile -t SOURCES < <(find review/common-3 review/1[1-5] -name '*.java' 2>/dev/null)
javac -encoding UTF-8 --release 17 -d target/review-3 "${SOURCES[@]}"
