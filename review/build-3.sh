#!/bin/bash
# Builds the stand-ins of the third review, in the root of the repository, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
