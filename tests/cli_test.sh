#!/bin/sh
# Tests the command line: invalid settings give one line of error output and exit status 2.
set -u
program=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
fail() { echo "FAIL: $1"; exit 1; }

cat > "$dir/good.toml" <<'T'
node = "trestle-0"
area = "a"
serve_on = "127.0.0.1:18080"
peer_listen = "127.0.0.1:18081"
unknown = 1
[external]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[deployment]
count = 1
zones = ["a"]
[[deployment.teams]]
name = "t"
cpus = 1.0
cpus_max = 2.0
gpus = 0.0
gpus_max = 0.0
[deployment.workers]
report_s = 2.0
lease_s = 14.0
cancel_s = 39.0
[deployment.state]
rps = 60.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 8
[deployment.cloud]
rps = 8.0
list_lag_s = 3.0
[deployment.resources]
cores = 0.16
ram_mb = 56.0
fd_limit = 800
T

expect_bad() {  # name, pattern, arguments
  name=$1; pattern=$2; shift 2
  "$program" "$@" > "$dir/out" 2> "$dir/err"
  [ $? -eq 2 ] || fail "$name: exit status is not 2"
  [ "$(wc -l < "$dir/err")" -eq 1 ] || fail "$name: not one line"
  grep -q "$pattern" "$dir/err" || fail "$name: does not say '$pattern' but '$(cat "$dir/err")'"
}

"$program" --version | grep -q '^rushtrestle [0-9]' || fail "--version"
"$program" --help | grep -q -- '--operator-settings' || fail "--help"
"$program" --check-config --config "$dir/good.toml" > "$dir/out" || fail "good settings refused"
grep -q valid "$dir/out" || fail "--check-config prints no verdict"
expect_bad "missing file" "can't be read" --config "$dir/none.toml"
grep -v lease_s "$dir/good.toml" > "$dir/bad.toml"
expect_bad "missing field" "deployment.workers.lease_s" --config "$dir/bad.toml"
sed 's/^rps = 60.0/rps = "x"/' "$dir/good.toml" > "$dir/bad.toml"
expect_bad "wrong type" "deployment.state.rps" --config "$dir/bad.toml"
sed 's/127.0.0.1:18080/nowhere/' "$dir/good.toml" > "$dir/bad.toml"
expect_bad "bad address" "serve_on" --config "$dir/bad.toml"
for bad in 'txn_ops = 0' 'value_kb = -2.0' 'write_rps = "few"'; do
  { cat "$dir/good.toml"; printf '[deployment.state.next]\n%s\n' "$bad"; } > "$dir/bad.toml"
  expect_bad "next limits" "deployment.state.next.${bad%% *}" --config "$dir/bad.toml"
done
{ cat "$dir/good.toml"; printf '[deployment.state.next]\nvalue_kb = 2.0\nlater = 1\n'; } > "$dir/next.toml"
"$program" --check-config --config "$dir/next.toml" > "$dir/out" || fail "announced limits refused"
sed 's/^lease_s/gang_wait_s = -1.0\nlease_s/' "$dir/good.toml" > "$dir/bad.toml"
expect_bad "gang times" "deployment.workers.gang_wait_s" --config "$dir/bad.toml"
echo 'node = [' > "$dir/bad.toml"
expect_bad "bad TOML" "line 1" --config "$dir/bad.toml"
printf '; fine\n(requeue-delay 30)\n(no-such 1)\n' > "$dir/ops.scm"
expect_bad "operator settings" "line 3: unknown setting 'no-such'" --config "$dir/good.toml" --operator-settings "$dir/ops.scm"
LOG_LEVEL=loud expect_bad "log level" "LOG_LEVEL" --config "$dir/good.toml"
echo "1 passed, 0 failed"
