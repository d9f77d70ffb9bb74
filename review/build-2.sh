#!/bin/sh
# Builds the stand-ins of the scripted cases 6 to 10 into target/.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/rig-2 ./review/rig-2
