#!/usr/bin/env bash
# Brings the go.mod of every module of the workspace up to date: each module replaces its siblings by their
# directories and declares the libraries that it imports.
set -euo pipefail
cd "$(dirname "$0")/.."
prefix=lavendermoor.example
mapfile -t modules < <(go work edit -json | sed -n 's/.*"DiskPath": "\.\/\(.*\)".*/\1/p')
for module in "${modules[@]}"; do
  [ "$module" = tools ] && continue
  (
    cd "$module"
    for sibling in "${modules[@]}"; do
      [ "$sibling" = "$module" ] || [ "$sibling" = tools ] ||
        go mod edit -replace "$prefix/$sibling=../$sibling"
    done
    GOWORK=off go mod tidy
  )
done
go work sync
