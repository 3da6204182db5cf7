#!/usr/bin/env bash
# Measures the latency and CPU time that a daemon adds to requests. Stand-ins, daemon and sender run as separate processes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/...
bin/standin -settings bench/standin.yaml 2>/dev/null &
one=$!
bin/cornelwingd -settings bench/entry.yaml 2>/dev/null &
two=$!
trap 'kill -TERM $one $two; wait' EXIT
export CORNELWING_ADDR=http://127.0.0.1:23011 CORNELWING_TOKEN=operator
for _ in $(seq 50); do
  if bin/cornelwing apply bench/document.yaml >/dev/null 2>&1; then break; fi
  sleep 0.1
done
sleep 2
bin/cornelwing bench "$@"
