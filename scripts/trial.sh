#!/usr/bin/env bash
# Starts the processes of the demo and kills or freezes one after the other under
# load. The load consists of chat requests with and without streaming and of
# bookings, some of which are sent twice. Every answer is checked against its
# request, every booking against the executions that the service recorded. Exits
# with a non-zero status if an answer was wrong.
set -u
cd "$(dirname "$0")/.."

BIN=${BIN:-bin}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/sesame-trial.XXXXXX")
FAILED=0
STARTED=()

mkfifo "$WORK/input"
KEEP=1 BIN=$BIN bash scripts/demo.sh <"$WORK/input" >"$WORK/demo.log" 2>&1 &
DEMO=$!
exec 9>"$WORK/input"

finish() {
  local pid
  for pid in "${STARTED[@]}"; do kill "$pid" 2>/dev/null; done
  echo >&9
  exec 9>&-
  wait "$DEMO"
  rm -rf "$WORK"
}
trap finish EXIT
trap 'exit 130' INT TERM

for _ in $(seq 120); do
  grep -q '^ready' "$WORK/demo.log" && break
  sleep 0.5
done
grep -q '^ready' "$WORK/demo.log" || { echo "the demo did not start within 60 s"; cat "$WORK/demo.log"; exit 1; }
DATA=$(sed -n 's/^data  *//p' "$WORK/demo.log")
CALLERS=$(sed -n 's/^gates  *//p' "$WORK/demo.log")
RECORD=$(grep -o '127.0.0.1:[0-9]*' "$DATA/bookings.log" | head -n 1)

pid_of() { cat "$DATA/$1.pid"; }

# under_load NAME COMMAND... runs a command 1.5 s after the start of a 6 s load.
under_load() {
  local name=$1
  shift
  "$BIN/sesame-load" --gate "$CALLERS" --rate 30 --duration 6s --streamed 0.5 --once 0.2 \
    --service bookings --once-path /book --record "$RECORD" --duplicates 0.3 --run "$name" \
    --organisation north-quay=2,south-quay=1 --check --json "$WORK/$name.json" >"$WORK/$name.log" 2>&1 &
  local load=$!
  sleep 1.5
  "$@"
  if wait "$load"; then
    printf 'ok      %-18s %s\n' "$name" "$(counts "$WORK/$name.json")"
  else
    printf 'FAILED  %-18s %s\n' "$name" "$(counts "$WORK/$name.json")"
    tail -n 20 "$WORK/$name.log"
    FAILED=1
  fi
}

# counts prints the totals of a report: the first occurrence of each key, since the
# totals precede the counts of each second.
counts() { tr -d ' ,"' <"$1" | grep -E '^(sent|done|resent|violations):[0-9]' | awk -F: '!seen[$1]++' | tr '\n' ' '; }

kill_hard() { kill -KILL "$(pid_of "$1")"; }

freeze() { # NAME: stops the process for 5 s
  kill -STOP "$(pid_of "$1")"
  sleep 5
  kill -CONT "$(pid_of "$1")"
}

restart() { # NAME PROGRAM: restarts a process with its settings
  "$BIN/$2" --settings "$DATA/$1.ini" >>"$DATA/$1.log" 2>&1 &
  echo $! >"$DATA/$1.pid"
  STARTED+=($!)
  sleep 2
}

for i in 1 2 3; do
  under_load "kill-keeper$i" kill_hard "keeper$i"
  restart "keeper$i" sesame-keeper
done
for i in 1 2 3; do under_load "freeze-keeper$i" freeze "keeper$i"; done
under_load freeze-gate2 freeze gate2
under_load kill-gate1 kill_hard gate1
restart gate1 sesame-gate
under_load freeze-engine2 freeze engine2
under_load kill-engine1 kill_hard engine1
under_load kill-engine6 kill_hard engine6
[ $FAILED = 0 ] && echo "trial: all answers were correct" || echo "trial: an answer was WRONG or a load failed"
exit $FAILED
