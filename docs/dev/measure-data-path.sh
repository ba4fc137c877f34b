#!/usr/bin/env bash
# Measures the data path in real processes on loopback: the processor time of each
# daemon per job and per task, and its heap per job. It fits nothing; MEASURING.md
# tells how its figures become the slopes of the capacity page.
#
#   docs/dev/measure-data-path.sh FOLDER FAILURE-DOMAINS HOSTS BASE-PORT RATE:WIDTH...
#
# FOLDER is made and must not exist. Each RATE:WIDTH is one run of `stoathitch load`
# of 4 s against the first host. Daemons run with GOMAXPROCS=2, or as DAEMON_ENV
# says. Base ports from 32768 up may be taken by outgoing connections.
set -euo pipefail

folder=$1 domains=$2 hosts=$3 port=$4
shift 4
mkdir "$folder"
go build -o "$folder/" ./cmd/stoathitchd ./cmd/stoathitch
"$folder/stoathitch" settings init "$folder/settings" --failure-domains "$domains" --entry-hosts "$hosts" --base-port "$port" >"$folder/init"

names=() pids=()
stop() { kill "${pids[@]}"; wait; }
trap stop EXIT
begin() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  names+=("$name") pids+=($!)
}
for file in "$folder"/settings/*.json; do
  begin "$(basename "$file" .json)" env GOMAXPROCS=2 ${DAEMON_ENV:-} "$folder/stoathitchd" --settings "$file"
done
for domain in ${domains//,/ }; do
  begin "stand-in-$domain" env GOMAXPROCS=4 "$folder/stoathitch" stand-in --settings-dir "$folder/settings" --failure-domain "$domain" --count 4 --slots 500
done
until "$folder/stoathitch" load --host "127.0.0.1:$port" --rate 10 --duration 1s --widths 1 --run-time 1ms >"$folder/warm-up" 2>&1; do sleep 1; done

times() { for pid in "${pids[@]}"; do awk '{print ($14 + $15) * 10}' "/proc/$pid/stat"; done; }
heap() { # the next collection's bound, which is the live heap times 1+GOGC/100
  for ((index = 0; index < ${#names[@]}; index++)); do
    local host_port=$((port + index))
    [[ ${names[index]} == stand-in-* ]] && continue
    curl -s "http://127.0.0.1:$host_port/debug/vars" | grep -o '"NextGC":[0-9]*' | cut -d: -f2
  done
}
for run in "$@"; do
  rate=${run%:*} width=${run#*:}
  before=($(times)) heap_before=($(heap))
  "$folder/stoathitch" load --host "127.0.0.1:$port" --rate "$rate" --duration 4s --widths "$width" --run-time 0ms-5ms | tee "$folder/load-$rate-$width"
  after=($(times)) heap_after=($(heap))
  complete=$(cut -f3 "$folder/load-$rate-$width")
  for ((index = 0; index < ${#names[@]}; index++)); do
    spent=$((after[index] - before[index]))
    printf '  %-24s %6d ms %8.1f us/job %8.2f us/task  next-gc %s -> %s\n' "${names[index]}" "$spent" \
      "$(awk "BEGIN {print $spent * 1000 / $complete}")" "$(awk "BEGIN {print $spent * 1000 / $complete / $width}")" \
      "${heap_before[index]:--}" "${heap_after[index]:--}"
  done
done
