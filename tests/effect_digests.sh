#!/bin/bash
# Runs each test of the given binary in its own process, with the seed of the build, and prints a
# sorted line for each test with simulated controllers: hash of all their effects, number of
# effects, test name (see effect_digest.h). Versions of the program with the same behaviour give the
# same hashes, also for renamed tests.
#
#     tests/effect_digests.sh build/test/tests/rushtrestle_tests [JOBS] > after.txt
#     diff <(cut -d' ' -f1,2 tests/effect_digests.txt) <(cut -d' ' -f1,2 after.txt)
set -euo pipefail
binary=$(realpath "$1")
jobs=${2:-$(nproc)}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

run_one() {
  local test=$1 cases=60
  case $test in OverlappingFaults.*) cases=25 ;; esac # as in tests/CMakeLists.txt
  if ! RC_PARAMS="seed=20261201 max_success=$cases" EFFECT_DIGEST="$folder/$test.digest" \
    "$binary" --gtest_filter="$test" > "$folder/$test.log" 2>&1; then
    echo "failed: $test" >&2
  fi
}
export -f run_one
export binary folder

"$binary" --gtest_list_tests | awk '/^[^ ]/ {suite = $1; next} {print suite $1}' |
  xargs -P "$jobs" -I{} bash -c 'run_one {}'
for file in "$folder"/*.digest; do
  echo "$(cat "$file") $(basename "$file" .digest)"
done | sort
