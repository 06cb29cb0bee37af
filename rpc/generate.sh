#!/usr/bin/env bash
# Regenerates the committed protobuf and twirp code into OUT (default: here).
# Needs protoc on the PATH; the plugins come from this module's tools.
set -euo pipefail
cd "$(dirname "$0")/.."
out="${OUT:-.}"
plugins="$(mktemp -d)"
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
for file in rpc/*/*.proto; do
  PATH="$plugins:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative \
    --twirp_out="$out" --twirp_opt=paths=source_relative "$file"
done
