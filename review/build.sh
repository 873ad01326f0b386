#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. They use the standard library only.
set -eu
cd "$(dirname "$0")/standins"
go build -buildvcs=false -o ../bin/standins .
