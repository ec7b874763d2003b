#!/usr/bin/env bash
# Starts the stand-ins and three entry instances in two zones as processes on
# loopback, sends requests through them, checks the responses and stops all
# processes by process ID. Exits non-zero if a check fails. DEMO_PORT_PREFIX
# (default 7) sets the leading digits of all ports.
set -euo pipefail
cd "$(dirname "$0")/.."

port_prefix=${DEMO_PORT_PREFIX:-7}
work_dir=$(mktemp -d)
log_dir=$work_dir/logs
mkdir "$log_dir"
pids=()

for file in examples/service.hujson examples/demo/*.hujson; do
  sed "s/127\.0\.0\.1:7/127.0.0.1:$port_prefix/g" "$file" >"$work_dir/${file##*/}"
done
export EELGRASS_PLATFORM=http://127.0.0.1:${port_prefix}100

stop_all() {
  local status=0
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" || status=1; done
  pids=()
  return $status
}
trap stop_all EXIT # also when the script is interrupted

fail() {
  echo "demo: $*" >&2
  tail -n 5 "$log_dir"/* >&2
  stop_all || true
  exit 1
}

start() { # name, command...
  local name=$1
  shift
  "$@" 2>"$log_dir/$name.log" &
  pids+=($!)
}

await_ready() { # URL
  for _ in $(seq 100); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  fail "$1 is not ready"
}

ctl() { bin/eelgrassctl "$@"; }

start standin bin/eelgrass-standin --config "$work_dir/standin.hujson"
await_ready http://127.0.0.1:${port_prefix}100/instances
for name in north-1 north-2 south-1; do
  start "$name" bin/eelgrass-entry --config "$work_dir/$name.hujson"
done

ctl apply "$work_dir/service.hujson" || fail "apply"
key=$(ctl key issue lab harbour-lab) || fail "key issue"
for port in ${port_prefix}200 ${port_prefix}201 ${port_prefix}202; do await_ready "http://127.0.0.1:$port/readyz"; done

request() { # port, path, curl arguments...
  local port=$1 path=$2
  shift 2
  curl -fsS --retry 8 --retry-all-errors --retry-delay 1 -H "Authorization: Bearer $key" "$@" "http://127.0.0.1:$port$path"
}

for port in ${port_prefix}200 ${port_prefix}201 ${port_prefix}202; do
  request "$port" /v1/models >/dev/null || fail "models at $port"
done

echo "streamed request:"
stream=$(request ${port_prefix}200 /v1/chat/completions -d '{"model": "panel-notes", "stream": true, "max_tokens": 8,
  "messages": [{"role": "user", "content": "note on panel 12"}]}') || fail "streamed request"
echo "$stream" | tail -n 2
echo "$stream" | grep -q '^data: \[DONE\]' || fail "the stream is not whole"

echo "request to an adapter:"
answer=$(request ${port_prefix}201 /v1/completions -d '{"model": "panel-notes:coastal", "max_tokens": 4, "prompt": "note on panel 13"}') ||
  fail "adapter request"
echo "$answer" | grep -o '"completion_tokens":[0-9]*' || fail "the answer is not whole"

echo "models placed:"
for port in ${port_prefix}110 ${port_prefix}111; do
  curl -fsS "http://127.0.0.1:$port/engine/report" | grep -o '"model":"[^}]*"state":"[a-z]*"' | sed "s/^/  $port /" || true
  overcommit=$(curl -fsS "http://127.0.0.1:$port/counters" | sed -n 's/.*"overcommit":\([0-9]*\).*/\1/p')
  [ "$overcommit" = 0 ] || fail "the engine at $port was overcommitted $overcommit times"
done

echo "idempotent lookup:"
request ${port_prefix}202 /services/lab/lookup/panel-12 || fail "lookup"
echo

runs_of() { # check-in ID
  for port in ${port_prefix}120 ${port_prefix}121; do curl -fsS "http://127.0.0.1:$port/runs/$1"; done |
    sed -n 's/.*"runs":\([0-9]*\).*/\1/p' | awk '{n += $1} END {print n + 0}'
}

echo "non-idempotent check-in, sent twice under one key through two instances:"
id="checkin-$$"
for port in ${port_prefix}201 ${port_prefix}202; do
  request "$port" "/services/lab/checkin/$id" -X POST -H "Idempotency-Key: $id" || fail "check-in"
  echo
done
runs=$(runs_of "$id")
[ "$runs" = 1 ] || fail "the check-in ran $runs times"

seen=0
for port in ${port_prefix}110 ${port_prefix}111 ${port_prefix}120 ${port_prefix}121; do
  seen=$((seen + $(curl -fsS "http://127.0.0.1:$port/seen-credentials" | tr -dc 0-9)))
done
[ "$seen" = 0 ] || fail "upstreams saw $seen credentials"

echo "status:"
for _ in $(seq 20); do
  ctl status | grep -q "in 3 of 3 instances" && break
  sleep 0.5
done
ctl status
ctl status | grep -q "in 3 of 3 instances" || fail "the document is not in force everywhere"

echo "service record:"
for _ in $(seq 20); do
  ctl record verify --service lab --organisation harbour-lab >"$work_dir/record" || fail "the service record does not verify"
  grep -q outcome "$work_dir/record" && break
  sleep 0.5
done
tail -n 5 "$work_dir/record"
grep -q outcome "$work_dir/record" || fail "the service record has no outcome"

stop_all || fail "a process did not stop gracefully"
echo "demo: all good"
