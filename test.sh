#!/usr/bin/env bash
# Runs all tests with the race detector. A failed test is tolerated only if KNOWN-RED.txt lists it by name.
set -uo pipefail
cd "$(dirname "$0")"
out=$(mktemp)
trap 'rm -f "$out"' EXIT
# The tests of crowds measure the memory of processes and run one at a time, apart from all other load.
apart=github.com/cornelwing/cornelwing/internal/stand/crowd
go test -race -count=1 -timeout 15m $(go list ./... | grep -vxF "$apart") 2>&1 | tee "$out"
code=${PIPESTATUS[0]}
go test -race -count=1 -timeout 15m "$apart" 2>&1 | tee -a "$out"
code=$((code | PIPESTATUS[0]))
# Large configurations over thin links are played once more in full size, as compression is slow under the race detector.
go test -count=1 -timeout 15m ./internal/root/relay/hosts -run 'ThinLinks|BesideLostHosts' -args -thin-hosts 40 -thin-factor 10 -thin-seeds 20 2>&1 | tee -a "$out"
code=$((code | PIPESTATUS[0]))
if [ "$code" -eq 0 ]; then
  exit 0
fi

# died PATTERN prints the packages that failed without naming a test, or in which a line matches the pattern.
died() {
  awk -v pattern="$1" '
    /^ *--- FAIL:/ { named = 1 }
    pattern != "" && $0 ~ pattern { matched = 1 }
    /^(ok|FAIL)[ \t]+[^ \t]*\// {
      if ($1 == "FAIL" && ((pattern == "" && !named) || matched)) print $2
      named = matched = 0
    }' "$out"
}

# On arm64 the race detector itself crashes at times. The tests of such a package then run without it.
crashed=""
if [ "$(uname -m)" = aarch64 ]; then
  crashed=$(died '^ThreadSanitizer: CHECK failed')
fi
if [ -n "$crashed" ]; then
  echo "The race detector crashed. Without it:" $crashed
  # The names have no spaces.
  go test -count=1 -timeout 15m $crashed 2>&1 | tee -a "$out"
fi

# An entry of KNOWN-RED.txt starts with the line "test: NAME". Failures of all other tests fail the run.
known=$(sed -n 's/^test: //p' KNOWN-RED.txt)
failed=$(sed -n 's/^ *--- FAIL: \([^ ]*\).*/\1/p' "$out" | sort -u)
unnamed=$(died "")
if [ -z "$failed$unnamed" ]; then
  exit "$code"
fi
bad=0
for p in $unnamed; do
  if grep -qxF -- "$p" <<<"$crashed" && grep -qE "^ok[[:space:]]+$p[[:space:]]" "$out"; then
    continue
  fi
  echo "FAILED WITHOUT A NAMED TEST: $p"
  bad=1
done
if grep -qE '^panic:' "$out"; then
  bad=1
fi
for t in $failed; do
  if grep -qxF -- "$t" <<<"$known"; then
    echo "KNOWN RED: $t"
  else
    echo "FAILED: $t"
    bad=1
  fi
done
exit $bad
