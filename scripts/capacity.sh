#!/usr/bin/env bash
# Runs sites of several sizes as processes on loopback and writes samples of the
# control plane overhead of their entry instances (the metrics eelgrass_control_*)
# to the directory given as argument. Every site is sampled in three windows:
# idle, while documents change, and while the engines are loaded directly, not
# through the entry instances. A site may also list upstreams in another zone
# ("far") that do not exist: they are in its document and in the instance list.
# All processes are stopped by process ID.
set -euo pipefail
cd "$(dirname "$0")/.."

out_dir=$1
window_s=8
settle_s=6 # between the start of the sites and the first sample
changes_per_window=8
work_dir=$(mktemp -d)
declare -A pid_of
trap 'stop_all; rm -rf "$work_dir"' EXIT

stop_all() {
  local pid
  for pid in "${pid_of[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pid_of[@]}"; do wait "$pid" 2>/dev/null || true; done
  pid_of=()
}

start() { # name, command...
  local name=$1
  shift
  "$@" >"$work_dir/$name.log" 2>&1 &
  pid_of[$name]=$!
}

fetch() { curl -fsS --max-time 20 "$@"; }

# Each site has a range of 200 ports, the first of which starts at 22000. Offset 0
# is the platform, engines start at offset 10, the listeners of the entry
# instances for callers at 100 and those for peers at 150.
port_of() { echo $((22000 + 200 * $1 + $2)); }
zone_of() { echo "z$(($1 % $2))"; }

write_standin() { # site zones engines
  local i
  echo "{\"object_api\": {\"address\": \"127.0.0.1:$(port_of "$1" 0)\", \"watch_wait_ms\": 10000, \"instance_lag_ms\": 500},"
  echo "\"engine_timing\": {\"report_lag_ms\": 200, \"decode_ms\": 20}, \"engines\": ["
  for ((i = 0; i < $3; i++)); do
    echo "{\"name\": \"engine-$i\", \"zone\": \"$(zone_of "$i" "$2")\", \"address\": \"127.0.0.1:$(port_of "$1" $((10 + i)))\", \"memory_mb\": 80000, \"resident\": ["
    echo "{\"model\": \"model-a\", \"version\": \"1\", \"memory_mb\": 18000}, {\"model\": \"model-b\", \"version\": \"1\", \"memory_mb\": 18000},"
    echo "{\"model\": \"model-c\", \"version\": \"1\", \"memory_mb\": 18000}, {\"model\": \"model-d\", \"version\": \"1\", \"memory_mb\": 18000}]},"
  done
  echo "]}"
}

write_document() { # site zones engines far
  local i
  echo "{\"service\": \"fleet\", \"models\": ["
  for i in a b c d; do echo "{\"name\": \"model-$i\", \"memory_mb\": 18000},"; done
  echo "], \"upstreams\": ["
  for ((i = 0; i < $3; i++)); do
    echo "{\"name\": \"engine-$i\", \"zone\": \"$(zone_of "$i" "$2")\", \"kind\": \"engine\", \"address\": \"127.0.0.1:$(port_of "$1" $((10 + i)))\", \"memory_mb\": 80000, \"fencing\": true},"
  done
  for ((i = 0; i < $4; i++)); do
    echo "{\"name\": \"far-$i\", \"zone\": \"far\", \"kind\": \"engine\", \"address\": \"$(far_address "$i")\", \"memory_mb\": 80000, \"fencing\": true},"
  done
  echo "], \"organisations\": [{\"name\": \"lab\", \"rate_tokens_per_s\": 1000, \"burst_tokens\": 60000}]}"
}

far_address() { echo "127.1.$(($1 / 250)).$(($1 % 250)):9"; }

# write_far_instances writes a curl config that registers the upstreams that do
# not exist in the instance list.
write_far_instances() { # site far
  local i
  for ((i = 0; i < $2; i++)); do
    if ((i > 0)); then echo "next"; fi
    echo "url = \"http://127.0.0.1:$(port_of "$1" 0)/instances/far-$i\""
    echo "request = \"PUT\""
    echo "silent"
    echo "data = \"{\\\"name\\\": \\\"far-$i\\\", \\\"incarnation\\\": \\\"0b8f4f5e-9a71-4c35-8f0a-5a60c3f1a8d0\\\", \\\"zone\\\": \\\"far\\\", \\\"role\\\": \\\"upstream\\\", \\\"address\\\": \\\"$(far_address "$i")\\\", \\\"state\\\": \\\"live\\\"}\""
  done
}

# write_changed writes the document that the changes window edits.
write_changed() { # edit organisations
  local i
  echo "{\"service\": \"changed\", \"organisations\": ["
  for ((i = 100; i < 100 + $2; i++)); do
    echo "{\"name\": \"organisation-$i\", \"rate_tokens_per_s\": $((1000 + $1)), \"burst_tokens\": 60000},"
  done
  echo "]}"
}

write_entry() { # site number zones
  cat <<END
{"name": "entry-$2", "zone": "$(zone_of "$2" "$3")", "listen": "127.0.0.1:$(port_of "$1" $((100 + $2)))",
 "peer_listen": "127.0.0.1:$(port_of "$1" $((150 + $2)))", "platform": {"url": "http://127.0.0.1:$(port_of "$1" 0)"},
 "stop": {"lame_duck": "100ms", "drain": "2s"}, "log": {"level": "info"}}
END
}

write_load() { # site engines
  local i
  echo "{\"name\": \"load\", \"seed\": 1, \"duration\": \"$((window_s + 2))s\", \"drain\": \"1s\", \"targets\": {\"send_keys\": false, \"urls\": ["
  for ((i = 0; i < $2; i++)); do echo "\"http://127.0.0.1:$(port_of "$1" $((10 + i)))\","; done
  echo "]}, \"flows\": [{\"name\": \"load\", \"organisation\": \"lab\", \"kind\": \"completion\", \"class\": \"live\","
  echo "\"rate\": {\"per_s\": $(($2 * 2))}, \"models\": [{\"name\": \"model-a\"}], \"prompt\": {\"min_words\": 16, \"max_words\": 64}, \"max_tokens\": 32, \"stream\": false}]}"
}

ctl() { # site, arguments...
  local site=$1
  shift
  EELGRASS_PLATFORM="http://127.0.0.1:$(port_of "$site" 0)" bin/eelgrassctl "$@"
}

create_document() { ctl "$1" apply --if-version 0 "$2" >/dev/null; } # site file

edit_changed() { # site edit organisations
  local version
  version=$(ctl "$1" get changed | sed -n 's,^// version: *,,p')
  write_changed "$2" "$3" >"$work_dir/changed-$1.hujson"
  echo "$((version)) $(date +%s%N)" >>"$out_dir/site$1-changes/applied"
  ctl "$1" apply --if-version "$version" "$work_dir/changed-$1.hujson" >/dev/null
}

start_site() { # site nodes zones engines far organisations
  local i
  if fetch "http://127.0.0.1:$(port_of "$1" 0)/calls" >/dev/null 2>&1; then
    echo "capacity: port $(port_of "$1" 0) is taken" >&2
    exit 1
  fi
  write_standin "$1" "$3" "$4" >"$work_dir/standin-$1.hujson"
  start "standin-$1" bin/eelgrass-standin --config "$work_dir/standin-$1.hujson"
  for i in $(seq 100); do
    fetch "http://127.0.0.1:$(port_of "$1" 0)/instances" >/dev/null 2>&1 && break
    sleep 0.1
  done
  if ! fetch "http://127.0.0.1:$(port_of "$1" 0)/instances" >/dev/null; then
    echo "capacity: the stand-in of site $1 did not start" >&2
    tail -n 2 "$work_dir/standin-$1.log" >&2
    exit 1
  fi
  if (($5 > 0)); then
    write_far_instances "$1" "$5" >"$work_dir/far-$1.curl"
    fetch --no-progress-meter --parallel --parallel-max 4 --config "$work_dir/far-$1.curl" >/dev/null
  fi
  write_document "$1" "$3" "$4" "$5" >"$work_dir/fleet-$1.hujson"
  write_changed 0 "$6" >"$work_dir/changed-$1.hujson"
  if (($4 > 0)); then create_document "$1" "$work_dir/fleet-$1.hujson"; fi
  create_document "$1" "$work_dir/changed-$1.hujson"
  write_load "$1" "$4" >"$work_dir/load-$1.hujson"
  for ((i = 0; i < $2; i++)); do
    write_entry "$1" "$i" "$3" >"$work_dir/entry-$1-$i.hujson"
    start "entry-$1-$i" bin/eelgrass-entry --config "$work_dir/entry-$1-$i.hujson"
  done
}

sample() { # site nodes zones engines far organisations window start|end changes
  local i base="$out_dir/site$1-$7"
  mkdir -p "$base"
  echo "{\"nodes\": $2, \"zones\": $3, \"engines\": $4, \"far\": $5, \"organisations\": $(($6 + 1)), \"window\": \"$7\", \"changes\": $9, \"settle_s\": $settle_s, \"document_bytes\": $(wc -c <"$work_dir/changed-$1.hujson")}" >"$base/site.json"
  for ((i = 0; i < $2; i++)); do
    fetch "http://127.0.0.1:$(port_of "$1" $((100 + i)))/metrics" | grep '^eelgrass_control_' >"$base/entry-$i.$8"
  done
  fetch "http://127.0.0.1:$(port_of "$1" 0)/calls" >"$base/calls.$8"
}

sample_all() { # window start|end changes; for all sites of the batch
  local s
  for s in "${batch[@]}"; do sample $s "$1" "$2" "$3"; done
}

change_all() {
  local s n
  for ((n = 1; n <= changes_per_window; n++)); do
    for s in "${batch[@]}"; do
      edit_changed "${s%% *}" "$n" "${s##* }"
    done
    sleep "$(awk "BEGIN {print $window_s / $changes_per_window * 0.9}")"
  done
  sleep 1
}

load_all() {
  local s site loads=()
  for s in "${batch[@]}"; do
    [[ $s == *" 0 0 "* ]] && continue # a site without engines
    site=${s%% *}
    start "load-$site" bin/eelgrass-load run --config "$work_dir/load-$site.hujson"
    loads+=("load-$site")
  done
  sleep 2
  sample_all loaded start 0
  sleep "$window_s"
  sample_all loaded end 0
  for s in "${loads[@]}"; do
    wait "${pid_of[$s]}" || { echo "capacity: $s failed" >&2; tail -n 3 "$work_dir/$s.log" >&2; }
    unset "pid_of[$s]"
  done
}

run_batch() { # sites, each "site nodes zones engines far organisations"
  batch=("$@")
  local s
  for s in "${batch[@]}"; do start_site $s; done
  sleep "$settle_s"
  sample_all idle start 0
  sleep "$window_s"
  sample_all idle end 0
  sample_all changes start "$changes_per_window"
  change_all
  sample_all changes end "$changes_per_window"
  for s in "${batch[@]}"; do
    grep -h '"document in force","[^}]*"service":"changed"' "$work_dir/entry-${s%% *}"-*.log >"$out_dir/site${s%% *}-changes/in_force" || true
  done
  load_all
  stop_all
}

rm -rf "$out_dir"
mkdir -p "$out_dir"
run_batch "0 1 1 0 0 20" "1 3 1 8 0 50" "2 6 1 8 0 10" "3 6 1 32 0 80" "4 12 1 8 0 50" "5 3 1 8 500 20" "6 3 1 8 1000 50" "7 3 1 8 2000 20"
run_batch "8 12 1 64 0 20" "9 12 2 32 0 80" "10 24 4 32 0 50"
