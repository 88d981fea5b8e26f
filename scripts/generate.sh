#!/usr/bin/env bash
# Generates the committed FlatBuffers code from the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums -o src/net/generated src/net/peer.fbs
