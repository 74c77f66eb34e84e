#!/usr/bin/env bash
# Runs three keepers, three gates, eight engine members and two services as
# separate processes on loopback, applies the example objects, sends requests
# and bookings, drains and restores a failure domain, and prints the time line.
# Stops all processes that it started. Exits with a non-zero status if a step fails.
#
# KEEP=1 leaves the processes running until Enter is pressed or a signal arrives.
# KEEP_DATA=1 keeps the data directory.
set -u
cd "$(dirname "$0")/.."

BIN=${BIN:-bin}
DATA=$(mktemp -d "${TMPDIR:-/tmp}/sesame-demo.XXXXXX")
PIDS=()
FAILED=0

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
  PIDS=()
}

cleanup() {
  stop_all
  [ "${KEEP_DATA:-0}" = 1 ] || rm -rf "$DATA"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND... runs a process in the background. Its output goes to
# NAME.log, its process ID to NAME.pid.
start() {
  local name=$1
  shift
  "$@" >"$DATA/$name.log" 2>&1 &
  PIDS+=($!)
  echo $! >"$DATA/$name.pid"
}

# step TEXT COMMAND... runs a command and prints whether it succeeded.
step() {
  local text=$1
  shift
  if "$@" >"$DATA/step.log" 2>&1; then
    printf 'ok      %s\n' "$text"
  else
    printf 'FAILED  %s (exit %d)\n' "$text" $?
    sed 's/^/        /' "$DATA/step.log"
    FAILED=1
  fi
}

# retry SECONDS COMMAND... repeats a command until it succeeds or the time is over.
retry() {
  local until=$((SECONDS + $1))
  shift
  until "$@"; do
    [ $SECONDS -lt $until ] || return 1
    sleep 0.2
  done
}

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Find a range of 40 free loopback ports.
BASE=""
for _ in $(seq 50); do
  try=$((20000 + RANDOM % 10000))
  free=1
  for i in $(seq 0 39); do port_is_free $((try + i)) || { free=0; break; }; done
  [ $free = 1 ] && { BASE=$try; break; }
done
[ -n "$BASE" ] || { echo "found no range of 40 free loopback ports"; exit 1; }
at() { echo "127.0.0.1:$((BASE + $1))"; }

KEEPERS="$(at 1),$(at 2),$(at 3)"
CALLERS="$(at 11),$(at 12),$(at 13)"
ANNOUNCE="$(at 21),$(at 22),$(at 23)"
CTL="$BIN/sesamectl --servers $KEEPERS"

DOMAINS=(fd-a fd-b fd-c)
for i in 1 2 3; do
  cat >"$DATA/keeper$i.ini" <<INI
[keeper]
id = $i
cluster = demo
failure_domain = ${DOMAINS[$((i - 1))]}
data_dir = $DATA/keeper$i
rpc_listen = $(at $i)
metrics_listen = $(at $((i + 3)))
peers = 1@$(at 1), 2@$(at 2), 3@$(at 3)
INI
  start "keeper$i" "$BIN/sesame-keeper" --settings "$DATA/keeper$i.ini"
done
for i in 1 2 3; do
  cat >"$DATA/gate$i.ini" <<INI
[gate]
name = gate-$i
cluster = demo
failure_domain = ${DOMAINS[$((i - 1))]}
http_listen = $(at $((10 + i)))
peer_listen = $(at $((14 + i)))
rpc_listen = $(at $((17 + i)))
upstream_listen = $(at $((20 + i)))
metrics_listen = $(at $((24 + i)))
keepers = $(at 1), $(at 2), $(at 3)
shutdown_notice = 500ms
INI
  start "gate$i" "$BIN/sesame-gate" --settings "$DATA/gate$i.ini"
done
for i in 1 2 3 4 5 6 7 8; do
  if [ $i -le 4 ]; then domain=fd-a fabric=fabric-1; else domain=fd-b fabric=fabric-2; fi
  start "engine$i" "$BIN/sesame-fake" engine --name "h$i" --failure-domain $domain \
    --fabric-domain $fabric --gates "$ANNOUNCE" --load-rate 4000000000
done
start records "$BIN/sesame-fake" service --name s1 --service records --failure-domain fd-b \
  --gates "$ANNOUNCE" --listen "$(at 31)"
start bookings "$BIN/sesame-fake" service --name s2 --service bookings --failure-domain fd-c \
  --gates "$ANNOUNCE" --listen "$(at 32)"

groups_serving() { # COUNT: this number of groups accepts new requests
  [ "$($CTL status | grep -cE '^[a-z0-9-]+ +serving +v1')" -eq "$1" ]
}
all_hosts_in_service() { [ "$($CTL status | grep -cE ' (engine|service [a-z]+) .* in service')" -eq 10 ]; }
chats() { # FRACTION_STREAMED SEED
  "$BIN/sesame-load" --gate "$CALLERS" --rate 10 --requests 20 --streamed "$1" \
    --seed "$2" --run "chats-$2" --organisation north-quay=2,south-quay=1 --check
}
bookings() {
  "$BIN/sesame-load" --gate "$CALLERS" --rate 5 --requests 5 --once 1 \
    --service bookings --once-path /book --record "$(at 32)" --duplicates 0.5 \
    --run bookings --organisation north-quay=1 --check
}

echo "data    $DATA"
echo "keepers $KEEPERS"
echo "gates   $CALLERS"
step "the keepers have a leader" retry 10 $CTL status
step "all hosts are in service" retry 10 all_hosts_in_service
step "objects are accepted and in force on all gates" $CTL apply --wait examples/demo/objects.ini
step "four groups of two hosts serve" retry 20 groups_serving 4
step "20 streamed requests are answered completely" chats 1 1
step "20 requests without streaming are answered completely" chats 0 2
step "5 bookings are executed once each, including those sent twice" bookings
step "fd-a is drained on all gates" $CTL drain failure-domain fd-a --wait
step "two groups are still serving" retry 5 groups_serving 2
step "20 requests are answered during the drain" chats 1 3
step "fd-a is restored on all gates" $CTL restore failure-domain fd-a --wait
step "four groups serve again" retry 20 groups_serving 4
step "20 requests are answered after the restore" chats 0 4

echo
echo "time line of all processes (without requests):"
$CTL timeline 2>/dev/null | grep -vE ' (request|once)[-.]' | tail -n 60

if [ "${KEEP:-0}" = 1 ]; then
  cat <<TEXT

The processes keep running until Enter is pressed. Commands to try:
  curl -s http://$(at 11)/v1/chat/completions -H 'Sesame-Organisation: north-quay' \\
    -H 'Content-Type: application/json' -d '{"model":"assistant","messages":[{"role":"user","content":"hello"}]}'
  curl -s http://$(at 12)/svc/bookings/book -H 'Sesame-Organisation: north-quay' \\
    -H 'Idempotency-Key: my-key' -d 'cart 5'
  $CTL status
  kill \$(cat $DATA/gate2.pid)      # or any other of $DATA/*.pid; restart it with the same command
TEXT
  echo "ready"
  read -r _ || sleep infinity
fi

[ $FAILED = 0 ] && echo "demo: all steps passed" || echo "demo: at least one step FAILED"
exit $FAILED
