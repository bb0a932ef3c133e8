#!/bin/sh
cd "$(dirname "$0")/../.."
[ -f target/foxtailmoor-platform.jar ] && [ -d target/review ] || exit 2
exec timeout -k 5 110 java -XX:TieredStopAtLevel=1 -cp target/review ForeignEntryCase review/4
