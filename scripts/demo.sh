#!/usr/bin/env bash
# Starts a small version of both deployments on loopback, sends chats and bookings, drains a data centre and undrains it.
# Usage: demo.sh BINARY [--keep]. With --keep the processes run until Enter is pressed. Exits non-zero if a step fails.
set -euo pipefail
bin=$1
keep=${2:-}
dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT
start() { # start LOGNAME COMMAND...
  local log=$dir/$1.log
  shift
  "$@" >"$log" 2>&1 &
  pids+=($!)
}
fail() {
  echo "demo failed: $*" >&2
  tail -n 5 "$dir"/*.log >&2 || true
  echo "demo failed: $*" >&2
  exit 1
}
await() { # await URL: retries for about 10 s until the URL answers without an HTTP error
  for _ in $(seq 200); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return
    sleep 0.05
  done
  fail "$1 did not become ready"
}

# deployment NAME BASEPORT MODEL RUNNERS PLAIN UPSTREAMS DATACENTRE...
deployment() {
  local name=$1 base=$2 model=$3 runners=$4 plain=$5 upstreams=$6
  shift 6
  local dcs=("$@") port=$base rows=() i dc
  local kv=127.0.0.1:$((port++)) list=127.0.0.1:$((port++))
  start "$name-kv" "$bin" standin kv --listen "$kv"
  engines=() services=() entries=()
  add_row() { # add_row ID ROLE DC PEER ADMIN SERVICE
    rows+=("{\"id\":\"$1\",\"role\":\"$2\",\"data_centre\":\"$3\",\"address\":\"$4\",\"admin\":\"$5\",\"service\":\"$6\",\"version\":\"${6:+v1}\",\"state\":\"live\"}")
  }
  add_sidecar() { # add_sidecar ID SERVICE KIND DC
    local up=127.0.0.1:$((port++)) peer=127.0.0.1:$((port++)) admin=127.0.0.1:$((port++))
    if [ "$3" = engine ]; then
      start "$1-engine" "$bin" standin engine --listen "$up" --token-interval 2ms --cold-limit 8
      engines+=(--engine "http://$up")
    else
      start "$1-service" "$bin" standin service --listen "$up"
      services+=(--service "http://$up")
    fi
    echo "{\"instance\":\"$1\",\"role\":\"sidecar\",\"data_centre\":\"$4\",\"peer_address\":\"$peer\",\"admin_address\":\"$admin\",\"service\":\"$2\",
      \"upstream\":{\"kind\":\"$3\",\"url\":\"http://$up\"},\"kv\":{\"url\":\"http://$kv\",\"writes_per_second\":300}}" >"$dir/$1.json"
    start "$1" "$bin" sidecar --settings "$dir/$1.json"
    add_row "$1" sidecar "$4" "$peer" "$admin" "$2"
  }
  for ((i = 1; i <= runners; i++)); do add_sidecar "$name-runner-$i" "$model" engine "${dcs[$((i % ${#dcs[@]}))]}"; done
  for ((i = 1; i <= upstreams; i++)); do add_sidecar "$name-upstream-$i" "$plain" plain "${dcs[$((i % ${#dcs[@]}))]}"; done
  for ((i = 1; i <= 2; i++)); do
    dc=${dcs[$((i % ${#dcs[@]}))]}
    local http=127.0.0.1:$((port++)) peer=127.0.0.1:$((port++)) admin=127.0.0.1:$((port++))
    echo "{\"instance\":\"$name-entry-$i\",\"role\":\"entry\",\"data_centre\":\"$dc\",\"peer_address\":\"$peer\",\"admin_address\":\"$admin\",
      \"http_address\":\"$http\",\"leave_delay_ms\":200,\"kv\":{\"url\":\"http://$kv\"},\"instances\":{\"url\":\"http://$list\",\"poll_interval_ms\":200}}" >"$dir/$name-entry-$i.json"
    start "$name-entry-$i" "$bin" entry --settings "$dir/$name-entry-$i.json"
    entries+=(--entry "http://$http")
    add_row "$name-entry-$i" entry "$dc" "$peer" "$admin" ""
    [ "$i" = 1 ] && first_admin=$admin
  done
  (IFS=,; echo "[${rows[*]}]") >"$dir/$name-instances.json"
  start "$name-instances" "$bin" standin instances --listen "$list" --file "$dir/$name-instances.json"
  await "http://$kv/counters"
  await "http://$list/v1/instances"
  export JAYRIDGE_KV=http://$kv JAYRIDGE_INSTANCES=http://$list
}

# try_deployment RULES CHATPATH BOOKINGPATH DRAINED_DC
try_deployment() {
  local rules=$1 chat=$2 booking=$3 dc=$4
  cp "$rules" "$dir/current.rules"
  "$bin" apply --wait --author demo "$dir/current.rules" >"$dir/apply.log" || { cat "$dir/apply.log"; fail "rules of the deployment could not be applied"; }
  tail -n 1 "$dir/apply.log"
  await "http://$first_admin/readyz"
  local load=("$bin" load "${entries[@]}" "${engines[@]}" "${services[@]}" --chat-path "$chat" --booking-path "$booking")
  echo "-- all data centres: repeated chats, and each booking sent twice with the same idempotency key"
  "${load[@]}" --name steady --chats 60 --returns 4 --bookings 20 || fail "load before the drain"
  echo "-- drain $dc under load"
  "$bin" show >"$dir/current.rules"
  echo "drain datacentre $dc  # demo: power work" >>"$dir/current.rules"
  "${load[@]}" --name drain --chats 60 --returns 6 --bookings 20 >"$dir/drain.load" &
  local load_pid=$!
  "$bin" apply --wait --author demo "$dir/current.rules" | tail -n 1
  wait "$load_pid" || { cat "$dir/drain.load"; fail "load during the drain of $dc"; }
  cat "$dir/drain.load"
  "$bin" moves
  echo "-- undrain $dc"
  echo "undrain datacentre $dc  # demo: power work done" >>"$dir/current.rules"
  "$bin" apply --wait --author demo "$dir/current.rules" | tail -n 1
  "${load[@]}" --name back --chats 60 --returns 4 --bookings 20 || fail "load after $dc was undrained"
  "$bin" audit --limit 2
}

here=$(cd "$(dirname "$0")/.." && pwd)
echo "== Vunilagi Pressworks: 2 entries, 6 runners, 3 upstreams in suva, nadi, lautoka"
deployment vunilagi 17100 press-model 6 basket-app 3 suva nadi lautoka
grep -v '^\(drain\|undrain\|shift\) ' "$here/examples/vunilagi.rules" >"$dir/vunilagi.rules"
try_deployment "$dir/vunilagi.rules" /chat/fabric-care /bookings nadi
echo
echo "== Latvijas Briļļu Ziedojumu Šķirotāju Biedrība: 2 entries, 6 runners, 3 upstreams in riga-a, riga-b, riga-c"
deployment riga 17300 sort-assist 6 donation-ledger 3 riga-a riga-b riga-c
grep -v '^\(drain\|undrain\|shift\) ' "$here/examples/riga.rules" >"$dir/riga.rules"
chat=$(awk '$1 == "route" && /service=sort-assist/ {print $2; exit}' "$dir/riga.rules")
booking=$(awk '$1 == "route" && /service=donation-ledger/ && /idempotent=no/ {print $2; exit}' "$dir/riga.rules")
try_deployment "$dir/riga.rules" "$chat" "$booking" riga-b
if [ "$keep" = --keep ]; then
  echo "entries: ${entries[*]}   export JAYRIDGE_KV=$JAYRIDGE_KV JAYRIDGE_INSTANCES=$JAYRIDGE_INSTANCES"
  read -rp "press Enter to stop "
fi
echo "demo passed"
