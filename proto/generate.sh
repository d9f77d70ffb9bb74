#!/usr/bin/env bash
# Regenerates gen/ from proto/. Needs protoc 3.21 or newer.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
(cd tools && go build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go \
  connectrpc.com/connect/cmd/protoc-gen-connect-go github.com/twitchtv/twirp/protoc-gen-twirp)
PATH="$PWD/bin:$PATH"
rm -rf gen
module=laburnumgrade
protoc -I proto --go_out=. --go_opt=module=$module $(cd proto && find . -name '*.proto' | sed 's|^\./||')
protoc -I proto --connect-go_out=. --connect-go_opt=module=$module api/v1/api.proto
protoc -I proto --twirp_out=. --twirp_opt=module=$module peer/v1/peer.proto
