#!/usr/bin/env bash
# Measures daemons of one failure domain at rest.
# Usage: tools/bench_rest.sh DAEMONS [SECONDS]
set -euo pipefail
source "$(dirname "$0")/bench_programs.sh"

start_platform 2
DAEMONS=()
for number in $(seq "$1"); do
  start_daemon "entry-$number"
  DAEMONS+=("${PIDS[-1]}")
done
list_all
sleep 8
counts
echo
cranberryglade bench rest --seconds "${2:-10}" "${DAEMONS[@]}"
counts
echo
write_configuration 1
STARTED=$(date +%s.%N)
for number in $(seq "$1"); do
  until in_force "entry-$number" 2; do sleep 0.05; done
done
echo "in force on all after $(awk \
  "BEGIN { printf \"%.2f\", $(date +%s.%N) - $STARTED }") s"
