#!/bin/sh
# Builds the stand-ins of the third review into target/. Needs no network.
cd "$(dirname "$0")/.." && go build -ldflags=-linkmode=external -o target/review-3 ./review/_standin-3
