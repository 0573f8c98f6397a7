#!/usr/bin/env bash
# examples/demo.sh BUILD: starts the whole system as separate processes on
# loopback, sends requests to each service, checks every answer against one
# computed alone, stops everything gracefully. Exits 0 only if all is right.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
work=$(mktemp -d)
pids=()
stopped=no

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    if kill -0 "$pid" 2>/dev/null; then kill "$pid"; fi
  done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap '[ "$stopped" = yes ] || stop_all' EXIT

# start NAME COMMAND...: starts a process; its first lines go to $work/NAME.out.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}

# ready NAME KEY: waits for the process's ready line and prints KEY's value.
ready() {
  local tries=0
  until grep -q "^ready.* $2=" "$work/$1.out" 2>/dev/null; do
    tries=$((tries + 1))
    if [ $tries -gt 600 ]; then
      echo "$1 did not get ready:" >&2
      cat "$work/$1.log" >&2
      exit 1
    fi
    sleep 0.05
  done
  sed -n "s/^ready.* $2=\([^ ]*\).*/\1/p" "$work/$1.out" | head -1
}

# endpoint_address ENDPOINT FILE: the address of one endpoint's ready line.
endpoint_address() {
  sed -n "s/^ready endpoint=$1 address=\(.*\)/\1/p" "$work/$2.out"
}

start platform "$build/standin_platform" --port 0
platform=$(ready platform address)
start engines "$build/standin_engine" --endpoints examples/demo/engines.toml
ready engines control >/dev/null
for service in codebook-1:codebook codebook-2:codebook kituo-1:kituo kituo-2:kituo; do
  start "${service%%:*}" "$build/standin_service" \
    --name "${service%%:*}" --service "${service##*:}"
  ready "${service%%:*}" address >/dev/null
done

instances=
# start_side ENDPOINT KIND ADDRESS ZONE: a side, and its place in the list.
start_side() {
  cat >"$work/side-$1.toml" <<TOML
[process]
name = "side-$1"
zone = "$4"
region = "oslo"
[listen]
wire = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[platform]
address = "$platform"
[endpoint]
name = "$1"
kind = "$2"
address = "$3"
TOML
  start "side-$1" "$build/poplartrack" side --settings "$work/side-$1.toml"
  local wire
  wire=$(ready "side-$1" wire)
  instances+="{\"name\":\"side-$1\",\"role\":\"side\",\"zone\":\"$4\","
  instances+="\"region\":\"oslo\",\"address\":\"$wire\",\"state\":\"live\"},"
}

zones=(oslo-a oslo-b oslo-c)
turn=0
for endpoint in $(sed -n 's/^name = "\(.*\)"/\1/p' examples/demo/engines.toml); do
  start_side "$endpoint" engine "$(endpoint_address "$endpoint" engines)" \
    "${zones[$((turn++ % 3))]}"
done
for service in codebook-1 codebook-2 kituo-1 kituo-2; do
  start_side "$service" service "$(endpoint_address "$service" "$service")" \
    "${zones[$((turn++ % 3))]}"
done
curl -sf -X POST "http://$platform/test/instances" \
  -d "{\"instances\":[${instances%,}]}" >/dev/null

for entry in 1 2; do
  cat >"$work/entry-$entry.toml" <<TOML
[process]
name = "entry-$entry"
zone = "${zones[$entry]}"
region = "oslo"
[listen]
callers = "127.0.0.1:0"
wire = "127.0.0.1:0"
[platform]
address = "$platform"
[tuning]
config_poll_ms = 200
instance_poll_ms = 200
drain_grace_ms = 200
TOML
  start "entry-$entry" "$build/poplartrack" entry \
    --settings "$work/entry-$entry.toml"
done
entry1=$(ready entry-1 callers)
entry2=$(ready entry-2 callers)

echo "pushing the settings folder"
"$build/poplartrack" config push examples/settings --platform "$platform" \
  --author demo

# until_healthy ENTRY: waits for the configuration and every side.
until_healthy() {
  local tries=0
  until curl -sf "http://$1/healthz" >/dev/null &&
    [ "$(curl -s "http://$1/status" | grep -o '"holds"' | wc -l)" -ge 14 ]; do
    tries=$((tries + 1))
    [ $tries -le 600 ] || { echo "$1 did not get healthy" >&2; exit 1; }
    sleep 0.05
  done
}
until_healthy "$entry1"
until_healthy "$entry2"

failed=0
call() { "$build/poplartrack" call "$@" --verbose; }

# model ENTRY ACCOUNT SECRET MODEL VERSION LAYERS PROMPT TOKENS [FLAGS]
model() {
  local entry=$1 account=$2 secret=$3 name=$4 version=$5 layers=$6 prompt=$7 tokens=$8
  shift 8
  echo "== $name at $entry: \"$prompt\""
  local got want
  got=$(call --entry "$entry" --account "$account" --secret "$secret" \
    --model "$name" --prompt "$prompt" --tokens "$tokens" "$@") || failed=1
  want=$("$build/toy_answer" "$name" "$version" "$layers" "$tokens" "$prompt")
  echo "$got"
  if [ "$(echo $got)" = "$(echo $want)" ]; then
    echo "   whole and right"
  else
    echo "   WRONG: expected $want"
    failed=1
  fi
}

# service ENTRY ACCOUNT SECRET SERVICE OPERATION BODY [FLAGS]: prints the body.
service() {
  local entry=$1 account=$2 secret=$3 name=$4 operation=$5 body=$6
  shift 6
  echo "== $name/$operation at $entry: $body" >&2
  call --entry "$entry" --account "$account" --secret "$secret" \
    --service "$name" --operation "$operation" --body "$body" "$@"
}

model "$entry1" elkjop-oslo demo-elkjop-oslo pairing-llm v3 24 "soundbar X200" 12
model "$entry2" elkjop-oslo demo-elkjop-oslo pairing-llm v3 24 "television T9" 12 --stream
model "$entry1" ward-ilala demo-ward-ilala msaidizi v1 18 "needles beside a school" 16
model "$entry2" ward-ilala demo-ward-ilala msaidizi v1 18 "heap near the market" 16 --stream

service "$entry1" elkjop-oslo demo-elkjop-oslo codebook lookup '{"model":"X200"}' || failed=1
first=$(service "$entry1" ward-ilala demo-ward-ilala kituo dispatch \
  '{"ward":4}' --key report-77) || failed=1
again=$(service "$entry2" ward-ilala demo-ward-ilala kituo dispatch \
  '{"ward":4}' --key report-77) || failed=1
echo "$first"
if [ "$first" = "$again" ]; then
  echo "   the repeat at the other entry got the same dispatch"
else
  echo "   WRONG: the repeat got $again"
  failed=1
fi

echo "stopping everything gracefully"
# Entries first, then sides, then what stands behind them.
for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
  kill "${pids[$i]}"
  status=0
  wait "${pids[$i]}" || status=$?
  [ "$status" -eq 0 ] || { echo "a process ended with $status"; failed=1; }
done
stopped=yes
rm -rf "$work"
[ "$failed" -eq 0 ] && echo "demo: all answers whole and right" || echo "demo: FAILED"
exit $failed
