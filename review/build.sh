#!/bin/sh
# Builds the stand-ins of the scripts. Needs no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && go build -buildvcs=false -o review/bin/rig ./review/rig
