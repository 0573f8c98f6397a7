#!/usr/bin/env bash
# tests/cli/relay_signals.sh BUILD: guards against roles that a SIGHUP ends
# while they read their settings.
set -euo pipefail
poplartrack=$1/poplartrack
work=$(mktemp -d)
started=
finish() {
  [ -z "$started" ] || kill -KILL "$started" 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

fail() { echo "FAILED: $*" >&2; cat "$work"/* >&2; exit 1; }

# begin ROLE: starts a role whose settings come through a pipe, and sends it
# SIGHUP when it has opened them.
begin() {
  mkfifo "$work/settings"
  "$poplartrack" "$1" --settings "$work/settings" \
    >"$work/out" 2>"$work/err" 7>&- &
  started=$!
  exec 7>"$work/settings"
  kill -HUP "$started"
  # From now on the settings are a file.
  cat >"$work/file"
  mv "$work/file" "$work/settings"
  cat "$work/settings" >&7
  exec 7>&-
}

# await TEXT: waits until the role has written the text, as long as it runs.
await() {
  until grep -q -- "$1" "$work/out"; do
    kill -0 "$started" 2>/dev/null || fail "it ended without $1"
    sleep 0.05
  done
}

begin relay <<'TOML'
[process]
name = "relay-1"
zone = "a"
region = "r"
[listen]
callers = "127.0.0.1:0"
health = "127.0.0.1:0"
peers = "127.0.0.1:0"
[store]
address = "127.0.0.1:9"
[bounds]
grace_s = 1
TOML
await "event=started"
kill -TERM "$started"
code=0
wait "$started" || code=$?
[ "$code" -eq 0 ] || fail "the relay ended with $code"
started=
echo "ok"
