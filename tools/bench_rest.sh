#!/usr/bin/env bash
# Benchmarks idle daemons of one failure domain, and how soon a new version of
# the configuration is in force on all of them.
# Usage: tools/bench_rest.sh DAEMONS [SECONDS]
set -euo pipefail
source "$(dirname "$0")/bench_programs.sh"

start_platform 2
DAEMONS=()
for number in $(seq "$1"); do
  start_daemon "entry-$number"
  DAEMONS+=("${PIDS[-1]}")
done
publish_instances
sleep 8
print_counts
echo
cranberryglade bench rest --seconds "${2:-10}" "${DAEMONS[@]}"
print_counts
echo
write_configuration 1
STARTED=$(date +%s.%N)
for number in $(seq "$1"); do
  until in_force "entry-$number" 2; do sleep 0.05; done
done
echo "in force on all after $(awk \
  "BEGIN { printf \"%.2f\", $(date +%s.%N) - $STARTED }") s"
