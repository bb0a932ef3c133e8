#!/bin/sh
# Builds the stand-ins of the cases. Needs only the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -d target/review review/*.java review/[0-9]/*.java
