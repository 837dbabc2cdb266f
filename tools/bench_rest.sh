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
