#!/bin/sh
# Regenerates api/carobmillv1 and api/peerv1 from api/proto. Requires protoc, protoc-gen-go
# v1.36.12 and protoc-gen-go-grpc v1.6.2 on the PATH. The build uses the committed code
# and does not require them.
set -eu
cd "$(dirname "$0")"
protoc -I proto \
  --go_out=. --go_opt=module=github.com/carobmill/carobmill/api \
  --go-grpc_out=. --go-grpc_opt=module=github.com/carobmill/carobmill/api \
  proto/carobmill/v1/*.proto proto/carobmill/peer/v1/*.proto
