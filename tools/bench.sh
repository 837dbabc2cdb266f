#!/usr/bin/env bash
# Benchmarks one daemon with lightweight engines and callers on loopback.
# Usage: tools/bench.sh [REQUESTS_PER_SECOND [TOKENS [CALLERS [ENGINES]]]]
# KEYED=--keyed gives each request an idempotency key of its own.
# RAMP_SECONDS: warm-up time before the measurement (default 14).
# SECONDS_MEASURED: duration of the measurement (default 10).
# DAEMON: program to measure (default cranberrygladed).
set -euo pipefail
source "$(dirname "$0")/bench_programs.sh"

RATE=${1:-180}
TOKENS=${2:-244}
CALLERS=${3:-2}
ENGINES=${4:-2}

start_platform "$ENGINES"
start_daemon entry-1
PID=${PIDS[-1]}
publish_instances
sleep 5
SENDERS=()
for number in $(seq "$CALLERS"); do
  cranberryglade bench load --address "$(address entry-1 caller_address)" \
    --token store-token --kind counter-question --pid "$PID" \
    --tokens "$TOKENS" --seed "$number" ${KEYED:-} \
    --rate "$(awk "BEGIN { print $RATE / $CALLERS }")" \
    --ramp-seconds "${RAMP_SECONDS:-14}" \
    --seconds "${SECONDS_MEASURED:-10}" &
  SENDERS+=($!)
done
for sender in "${SENDERS[@]}"; do wait "$sender"; done
print_counts
echo
