#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin-2 ./review/_standin-2
