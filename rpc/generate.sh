#!/usr/bin/env bash
# Regenerates the committed protobuf and twirp code. Needs protoc,
# protoc-gen-go and protoc-gen-twirp on the PATH.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in rpc/*/*.proto; do
  protoc --go_out=. --go_opt=paths=source_relative \
    --twirp_out=. --twirp_opt=paths=source_relative "$file"
done
