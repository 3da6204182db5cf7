#!/usr/bin/env bash
# Runs the example system of one user as separate processes until interrupted: examples/run.sh anillo|dortova
# With "once" as the second argument, sends one request and exits.
set -euo pipefail
cd "$(dirname "$0")/.."
user=${1:?usage: examples/run.sh anillo|dortova}
dir=examples/$user
mkdir -p bin
go build -o bin/ ./cmd/...
work=$(mktemp -d)
pids=()
stop() {
  trap - EXIT INT TERM
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  wait
  rm -rf "$work"
}
trap stop EXIT INT TERM

hosts=()
for f in "$dir"/entry-*.yaml; do hosts+=("$(basename "$f" .yaml)"); done
bin/cornelwing certs -dir "$work/certs" "${hosts[@]}"
bin/standin -settings "$dir/standin.yaml" 2>"$work/standin.log" &
pids+=($!)
for h in "${hosts[@]}"; do
  sed "s#certs/#$work/certs/#" "$dir/$h.yaml" >"$work/$h.yaml"
  bin/cornelwingd -settings "$work/$h.yaml" 2>"$work/$h.log" &
  pids+=($!)
done

first=$dir/${hosts[0]}.yaml
operators=http://$(sed -n 's/^  operators: //p' "$first" | head -1)
callers=http://$(sed -n 's/^  callers: //p' "$first")
export CORNELWING_ADDR=$operators CORNELWING_TOKEN=operator
for _ in $(seq 50); do
  if curl -fs "$callers/healthz" >/dev/null; then break; fi
  sleep 0.1
done
bin/cornelwing apply -wait 10s "$dir/document.yaml"
bin/cornelwing status
account=$(sed -n 's/^  - name: \(ring\|salon\)/\1/p' "$dir/document.yaml" | head -1)
pipeline=$(sed -n '2s/^  - name: //p' "$dir/document.yaml")
echo
echo "Logs are in $work until this script exits. Operators' client: CORNELWING_ADDR=$operators CORNELWING_TOKEN=operator bin/cornelwing status"
echo "Send a request: curl -s $callers/v1/pipelines/$pipeline/requests -H 'Authorization: Bearer token-$account' -H 'Content-Type: application/json' -d '{\"input\":\"hello\"}'"
if [ "${2:-}" = once ]; then
  curl -fsS "$callers/v1/pipelines/$pipeline/requests" -H "Authorization: Bearer token-$account" -H 'Content-Type: application/json' -d '{"input":"hello"}'
  exit 0
fi
wait
