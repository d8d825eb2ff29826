#!/usr/bin/env bash
# Runs the soak test of gateways under faults. Usage: soak.sh [SEEDS] [SECONDS] [GATEWAYS]. SEEDS is a comma-separated list, by default three
# random seeds; SECONDS is the time per seed, by default 20; GATEWAYS is the number of gateways, by default 3.
set -euo pipefail
cd "$(dirname "$0")/.."
export JAYRIDGE_SOAK_SEEDS=${1:-$RANDOM,$RANDOM,$RANDOM} JAYRIDGE_SOAK_SECONDS=${2:-20} JAYRIDGE_SOAK_GATEWAYS=${3:-3}
go test -count=1 -v -timeout 60m -run TestSoak ./platform/soak
