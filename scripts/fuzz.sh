#!/usr/bin/env bash
# Runs each fuzz test in turn. Usage: fuzz.sh [SECONDS], the time per fuzz test, default 10.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
go test ./... -list '^Fuzz' -json 2>/dev/null | sed -n 's/.*"Package":"\([^"]*\)".*"Output":"\(Fuzz[A-Za-z0-9_]*\)\\n".*/\1 \2/p' |
  while read -r package name; do
    echo "== $package $name"
    go test "$package" -run '^$' -fuzz "^$name\$" -fuzztime "${seconds}s"
  done
