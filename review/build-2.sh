#!/bin/sh
# Compiles the stand-ins and the cases of the second review into target/review-2.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/common-2/review2/*.java
