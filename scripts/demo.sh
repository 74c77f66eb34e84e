#!/usr/bin/env bash
# Runs three keepers, three gates, eight engine members and two services as
# separate processes on loopback, applies the example objects, sends requests
# and bookings, drains a failure domain and restores it, and prints the time
# line. Ends everything it started. Exits non-zero if a step's outcome is wrong.
#
# KEEP=1 leaves everything up until Enter or a signal.
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

# start NAME COMMAND... runs a process in the background, logs to NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$DATA/$name.log" 2>&1 &
  PIDS+=($!)
  echo $! >"$DATA/$name.pid"
}

# step TEXT COMMAND... runs a command and says how it ended.
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

# retry SECONDS COMMAND... repeats a command until it succeeds.
retry() {
  local until=$((SECONDS + $1))
  shift
  until "$@"; do
    [ $SECONDS -lt $until ] || return 1
    sleep 0.2
  done
}

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Finds a range of free loopback ports.
BASE=""
for _ in $(seq 50); do
  try=$((20000 + RANDOM % 10000))
  free=1
  for i in $(seq 0 39); do port_is_free $((try + i)) || { free=0; break; }; done
  [ $free = 1 ] && { BASE=$try; break; }
done
[ -n "$BASE" ] || { echo "no free range of loopback ports"; exit 1; }
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

groups_serving() { # COUNT: so many groups take new work
  [ "$($CTL status | grep -cE '^[a-z0-9-]+ +serving +v1')" -eq "$1" ]
}
hosts_heard() { [ "$($CTL status | grep -cE ' (engine|service [a-z]+) .* in service')" -eq 10 ]; }
chats() { # SHARE_STREAMED SEED
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
step "a leader answers" retry 10 $CTL status
step "all hosts are heard" retry 10 hosts_heard
step "objects are accepted and in force" $CTL apply --wait examples/demo/objects.ini
step "four groups of two hosts serve" retry 20 groups_serving 4
step "20 streamed requests are answered in full" chats 1 1
step "20 whole requests are answered in full" chats 0 2
step "5 bookings run once each, also when sent twice" bookings
step "fd-a is drained, in force everywhere" $CTL drain failure-domain fd-a --wait
step "two groups are left" retry 5 groups_serving 2
step "20 requests are answered during the drain" chats 1 3
step "fd-a is restored, in force everywhere" $CTL restore failure-domain fd-a --wait
step "four groups serve again" retry 20 groups_serving 4
step "20 requests are answered after the return" chats 0 4

echo
echo "time line of all processes (requests left out):"
$CTL timeline 2>/dev/null | grep -vE ' (request|once)[-.]' | tail -n 60

if [ "${KEEP:-0}" = 1 ]; then
  cat <<TEXT

Everything stays up until Enter. To try by hand:
  curl -s http://$(at 11)/v1/chat/completions -H 'Sesame-Organisation: north-quay' \\
    -H 'Content-Type: application/json' -d '{"model":"assistant","messages":[{"role":"user","content":"hello"}]}'
  curl -s http://$(at 12)/svc/bookings/book -H 'Sesame-Organisation: north-quay' \\
    -H 'Idempotency-Key: my-key' -d 'cart 5'
  $CTL status
  kill \$(cat $DATA/gate2.pid)      # any of $DATA/*.pid; restart with the same command
TEXT
  echo "ready"
  read -r _ || sleep infinity
fi

[ $FAILED = 0 ] && echo "demo: all steps passed" || echo "demo: a step FAILED"
exit $FAILED
