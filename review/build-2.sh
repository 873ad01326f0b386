#!/bin/bash
# Builds the stand-ins of the second review's scripts into target/review-2.
cd "$(dirname "$0")/.." || exit 1
exec go build -tags review2 -o target/review-2/rig ./review/rig2
