#!/usr/bin/env bash
# Runs the fault soak of gateways. Usage: soak.sh [SEEDS] [SECONDS a seed]; SEEDS is a list separated by commas, default three fresh ones.
set -euo pipefail
cd "$(dirname "$0")/.."
export JAYRIDGE_SOAK_SEEDS=${1:-$RANDOM,$RANDOM,$RANDOM} JAYRIDGE_SOAK_SECONDS=${2:-20}
go test -count=1 -v -timeout 60m -run TestSoak ./platform/soak
