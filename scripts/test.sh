#!/usr/bin/env bash
# Runs all checks of the project: format, vet, staticcheck, tests with the race detector, short benchmarks.
# Tests listed in KNOWN-RED.txt are skipped by name and printed; every other failure fails the run.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== format"
unformatted=$(gofmt -l $(git ls-files -c -o --exclude-standard '*.go'))
if [ -n "$unformatted" ]; then
  echo "not formatted with gofmt: $unformatted" >&2
  exit 1
fi

echo "== vet"
go vet ./...

echo "== staticcheck"
go tool staticcheck ./...

# KNOWN-RED.txt: an entry starts with "test: <Name>" on a line of its own.
skip=""
if [ -f KNOWN-RED.txt ]; then
  while read -r name; do
    echo "skipped, listed in KNOWN-RED.txt: $name"
    skip="${skip:+$skip|}^${name}\$"
  done < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi

echo "== tests"
run=(go test -count=1 -timeout 30m)
if [ -n "$skip" ]; then
  run+=(-skip "$skip")
fi
# The simulated fleets run in virtual time on one goroutine each, where the race detector cannot find anything and makes them several times slower.
go test -count=1 -timeout 30m -skip "${skip:+$skip|}^TestLoadFleet_|^TestCrowd_" -race $(go list ./... | grep -v '/internal/bench$')
"${run[@]}" -run '^TestLoadFleet_' ./process/gateway
# Crowds of callers measure the memory of a gateway process, so that they run one at a time and beside nothing else.
"${run[@]}" -p 1 -run '^TestCrowd_' ./platform/soak

# Most benchmarks simulate the decisions in virtual time on one goroutine, where the race detector cannot find anything and makes them take
# more than five minutes. The benchmarks that start goroutines run with it as well.
echo "== benchmarks"
"${run[@]}" ./internal/bench
"${run[@]}" -race -run 'TestThroughput|TestSlopes' ./internal/bench
