# Functions that start the programs of the benchmarks; sourced by them.

DIRECTORY=$(mktemp -d)
PIDS=()

stop_programs() {
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$DIRECTORY"
}
trap stop_programs EXIT

# start NAME PROGRAM...: runs a program in the background; its output goes to
# $DIRECTORY/NAME, its errors to $DIRECTORY/NAME.errors.
start() {
  local name=$1
  shift
  "$@" >"$DIRECTORY/$name" 2>"$DIRECTORY/$name.errors" &
  PIDS+=($!)
}

# address NAME FIELD: waits up to 10 s for a program's start message and prints
# an address from it.
address() {
  local file=$DIRECTORY/$1 field=$2
  for _ in $(seq 200); do
    grep -qs "\"$field\"" "$file" && break
    sleep 0.05
  done
  sed -n "s/.*\"$field\": *\"\([^\"]*\)\".*/\1/p" "$file" | head -n 1
}

digest() { printf %s "$1" | sha256sum | cut -d ' ' -f 1; }

# send METHOD PATH BODY: calls the platform.
send() { curl -sSf -o /dev/null -X "$1" "http://$PLATFORM$2" -d "$3"; }

# instance_row NAME ROLE ADDRESS: prints one row of the platform's list.
instance_row() {
  local target=
  [[ $2 == engine ]] && target=assistant
  printf '{"name":"%s","role":"%s","incarnation":"i1","address":"%s",' \
    "$1" "$2" "$3"
  printf '"slots":4000,"failure_domain":"domain-1","target":"%s"}' "$target"
}

# start_platform ENGINES: starts the platform with a configuration and a number
# of engines.
start_platform() {
  local text number
  start platform cranberryglade standin platform
  PLATFORM=$(address platform address)
  ROWS=()
  for number in $(seq "$1"); do
    start "engine-$number" cranberryglade bench engine
    ROWS+=("$(instance_row "engine-$number" engine \
      "$(address "engine-$number" address)")")
  done
  text="[deployment]\nname = bench\n[tier counter]\nrank = 0\n\
[organisation store-1]\ntoken_sha256 = $(digest store-token)\n\
[operator ops]\ntoken_sha256 = $(digest operator-token)\n\
[rule counter-question]\ntarget = assistant\ntier = counter\n"
  send PUT /standin/faults '{"lag_seconds":0.0}'
  TEXT=$text
  write_configuration 0
}

# write_configuration VERSION: writes the configuration over that version.
write_configuration() {
  send PUT /standin/row "{\"table\":\"revisions\",\"key\":\"current\",
    \"version\":$1,\"value\":\"$TEXT\"}"
}

# in_force NAME VERSION: succeeds if a daemon has that version in force.
in_force() {
  curl -sSf -H "Authorization: Bearer operator-token" \
    "http://$(address "$1" caller_address)/v1/operators/status" |
    grep -q "\"version\":$2[,}]"
}

# start_daemon NAME: starts a daemon; its process id is PIDS[-1].
start_daemon() {
  cat >"$DIRECTORY/$1.ini" <<INI
[daemon]
instance = $1
failure_domain = domain-1
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
[platform]
address = $PLATFORM
[keys]
peer = abababababababababababababababab
ticket = cdcdcdcdcdcdcdcdcdcdcdcdcdcdcdcd
INI
  start "$1" ${DAEMON:-cranberrygladed} --settings "$DIRECTORY/$1.ini"
  ROWS+=("$(instance_row "$1" entry "$(address "$1" peer_address)")")
}

# publish_instances: replaces the platform's instance list by all rows.
publish_instances() {
  local IFS=,
  send PUT /standin/instances "{\"instances\":[${ROWS[*]}]}"
}

# print_counts: prints the call counts of the platform as JSON.
print_counts() { curl -sSf "http://$PLATFORM/standin/counts"; }
