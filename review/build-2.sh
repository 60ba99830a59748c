#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/review/. They use the standard library only.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -o ../target/review/ ./6 ./7 ./8 ./9 ./10
