#!/usr/bin/env bash
# Measures one daemon between cheap engines and callers on loopback.
# Usage: tools/bench.sh [REQUESTS_PER_SECOND [TOKENS [CALLERS [ENGINES]]]]
set -euo pipefail

RATE=${1:-180}
TOKENS=${2:-244}
CALLERS=${3:-2}
ENGINES=${4:-2}
RAMP_SECONDS=${RAMP_SECONDS:-14}
SECONDS_MEASURED=${SECONDS_MEASURED:-10}
DAEMON=${DAEMON:-cranberrygladed}
DIRECTORY=$(mktemp -d)
PIDS=()

finish() {
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$DIRECTORY"
}
trap finish EXIT

# Starts a program in the background; its output goes to a named file.
start() {
  local name=$1
  shift
  "$@" >"$DIRECTORY/$name" 2>"$DIRECTORY/$name.errors" &
  PIDS+=($!)
}

# Prints an address field of a program's start message.
address() {
  local file=$DIRECTORY/$1 field=$2
  for _ in $(seq 200); do
    grep -qs "\"$field\"" "$file" && break
    sleep 0.05
  done
  sed -n "s/.*\"$field\": *\"\([^\"]*\)\".*/\1/p" "$file" | head -n 1
}

digest() { printf %s "$1" | sha256sum | cut -d ' ' -f 1; }

start platform cranberryglade standin platform
PLATFORM=$(address platform address)
ROWS=
for number in $(seq "$ENGINES"); do
  start "engine-$number" cranberryglade bench engine
  ROWS+="{\"name\":\"engine-$number\",\"role\":\"engine\",\"incarnation\":\"i1\",
    \"address\":\"$(address "engine-$number" address)\",\"slots\":4000,
    \"failure_domain\":\"wien-a\",\"target\":\"assistant\"},"
done
CONFIGURATION="[deployment]\nname = bench\n[tier counter]\nrank = 0\n\
[organisation store-1]\ntoken_sha256 = $(digest store-token)\n\
[operator ops]\ntoken_sha256 = $(digest operator-token)\n\
[rule counter-question]\ntarget = assistant\ntier = counter\n"
put() { curl -sSf -o /dev/null -X "$1" "http://$PLATFORM$2" -d "$3"; }
put PUT /standin/faults '{"lag_seconds":0.0}'
put PUT /standin/instances "{\"instances\":[${ROWS%,}]}"
put POST /v1/transactions "{\"writes\":[{\"table\":\"configuration\",
  \"key\":\"current\",\"expected_version\":0,\"value\":\"$CONFIGURATION\"}]}"
cat >"$DIRECTORY/entry.ini" <<INI
[daemon]
instance = entry-1
failure_domain = wien-a
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
[platform]
address = $PLATFORM
[keys]
peer = abababababababababababababababab
ticket = cdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcd
INI
start daemon $DAEMON --settings "$DIRECTORY/entry.ini"
PID=${PIDS[-1]}
CALLER=$(address daemon caller_address)
sleep 2
SENDERS=()
for number in $(seq "$CALLERS"); do
  cranberryglade bench load --address "$CALLER" --token store-token \
    --kind counter-question --pid "$PID" --tokens "$TOKENS" \
    --rate "$(awk "BEGIN { print $RATE / $CALLERS }")" \
    --ramp-seconds "$RAMP_SECONDS" --seconds "$SECONDS_MEASURED" &
  SENDERS+=($!)
done
for sender in "${SENDERS[@]}"; do wait "$sender"; done
