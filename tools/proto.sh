#!/bin/sh
# Generates src/*.pb-c.[ch] from proto/*.proto. The result is committed, so that a build needs
# no generator; run this after a change to a schema:
#   apt-get install -y protobuf-c-compiler
set -e
protoc-c --proto_path=proto --c_out=src proto/mesh.proto proto/lw.proto
