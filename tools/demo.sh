#!/usr/bin/env bash
# Starts both sample deployments on loopback, sends a mixed load to them, kills
# an endpoint and an instance of each during the load, and stops all programs.
#
# DEMO_PORTS: first two digits of the ports used (default: the first of 21 to 26
#   that is free; 21 gives the samples' own ports 21000 to 21199).
# DEMO_SECONDS: seconds of load (default 15).
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${DEMO_SECONDS:-15}
work=$(mktemp -d)

in_use() {
  (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

for ports in ${DEMO_PORTS:-21 22 23 24 25 26}; do
  in_use "${ports}000" || in_use "${ports}100" || break
done
declare -A pids

stop_programs() {
  for name in "${!pids[@]}"; do
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_programs EXIT

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

wait_until_listening() {
  for _ in $(seq 200); do
    grep -q listening "$work/$1.log" 2>/dev/null && return
    if ! kill -0 "${pids[$1]}" 2>/dev/null; then
      break
    fi
    sleep 0.1
  done
  echo "$1 did not start:" >&2
  cat "$work/$1.log" >&2
  exit 1
}

start_deployment() {
  local name=$1 directory=$work/$1 platform role endpoint address
  mkdir "$directory"
  for file in samples/"$name"/*; do
    sed "s/127\.0\.0\.1:21/127.0.0.1:$ports/" "$file" \
      >"$directory/$(basename "$file")"
  done
  platform=$(sed -n '/^\[platform\]/,/^$/s/^address = //p' \
    "$directory/answers.ini")
  start "$name-platform" cranberryglade standin platform \
    --address "$platform" --instances "$directory/instances.json"
  while read -r endpoint role address; do
    if [ "$role" != entry ]; then
      start "$name-$endpoint" cranberryglade standin "$role" \
        --address "$address" --runs-file "$work/$name-$endpoint.runs"
    fi
  done < <(sed -n 's/.*"name": "\([^"]*\)", "role": "\([^"]*\)".*"address": "\([^"]*\)".*/\1 \2 \3/p' \
    "$directory/instances.json")
  wait_until_listening "$name-platform"
  cranberryglade config propose "$directory/configuration.ini" \
    --platform "$platform" >"$work/propose.log"
  for file in "$directory"/entry-*.ini; do
    start "$name-$(basename "$file" .ini)" cranberrygladed --settings "$file"
  done
}

kill_program() {
  echo "  kill -9 $1" >&2
  kill -9 "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

echo "starting two deployments: stand-ins and three instances each" >&2
start_deployment tulikalpa
start_deployment werkliste

cranberryglade demo --runs "$work" --seconds "$seconds" \
  --deployment "$work/tulikalpa" --deployment "$work/werkliste" \
  2> >(tee "$work/demo.log" >&2) &
pids[demo]=$!
until grep -q "load begins" "$work/demo.log" 2>/dev/null; do
  kill -0 "${pids[demo]}" 2>/dev/null || break
  sleep 0.1
done
sleep $((seconds / 4))
kill_program tulikalpa-writer-2
kill_program werkliste-assistant-2
sleep $((seconds / 4))
kill_program tulikalpa-entry-3
kill_program werkliste-entry-3

demo=${pids[demo]}
unset "pids[demo]"
wait "$demo"
