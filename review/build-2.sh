#!/bin/bash
# Builds the stand-ins of the second review's scripts into target/review-2. They use the standard
# library only.
cd "$(dirname "$0")/rig2" || exit 1
exec go build -buildvcs=false -o ../../target/review-2/rig .
