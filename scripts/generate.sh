#!/bin/sh
# Regenerates the committed protobuf and DRPC code. Requires protoc; its plug-ins are tools in go.mod.
set -eu
tools=$(mktemp -d)
go build -o "$tools/" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$tools:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative \
  bwoutcome/outcome.proto bwprofile/profile.proto bwpool/pool.proto bwroster/roster.proto \
  bwclaim/claim.proto bwaccount/account.proto bwpeer/peer.proto bwjob/job.proto bwmesh/mesh.proto bwrelay/relay.proto
rm -r "$tools"
