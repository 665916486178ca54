#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. The daemon is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -o target/review/ ./review/harness
