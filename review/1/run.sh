#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/foxtailmoor-platform.jar ] && [ -d target/review ] || exit 2
timeout -k 5 115 java -XX:TieredStopAtLevel=1 -cp target/review PrefixCase review/1
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
