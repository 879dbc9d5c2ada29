#!/bin/bash
# Tests the command line of rushtrestle_scale: it rejects invalid settings with status 2 and a line
# that names the field, and ends with status 1 if a program cannot be started. No fleet is started.
set -u
program=$1
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
failed=0

expect() { # status, text, arguments
  local status=$1 text=$2
  shift 2
  local out
  out=$("$program" "$@" 2>&1)
  local got=$?
  if [ "$got" -ne "$status" ] || ! grep -qF "$text" <<<"$out"; then
    echo "expected status $status and '$text', got $got: $out"
    failed=1
  fi
}

quickstart=$(dirname "$0")/../bench/scale/experiments/quickstart.toml
expect 2 'experiment' # no file named
expect 2 'name: missing, empty or not a string' --experiment /dev/null
sed 's/^seconds = 30/seconds = 5000/' "$quickstart" >"$directory/long.toml"
expect 2 'seconds: must be at most 1200' --experiment "$directory/long.toml"
sed 's/^rank = "prod"/rank = "highest"/' "$quickstart" >"$directory/rank.toml"
expect 2 'classes[0].rank: must be one of idle, normal, urgent, prod' --experiment "$directory/rank.toml"
sed 's/^repeat_share = .*/repeat_share = 2/' "$quickstart" >"$directory/share.toml"
expect 2 'users.repeat_share: must be at most 1' --experiment "$directory/share.toml"
expect 1 'controller: cannot run' --experiment "$quickstart" --controller "$directory/none"
exit $failed
