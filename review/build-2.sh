#!/bin/bash
# Builds the stand-ins of the cases of the second review, from the root of the repository.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
go build -o target/case-8 ./review/8
go build -o target/case-9 ./review/9
