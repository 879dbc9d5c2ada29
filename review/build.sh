#!/bin/bash
# Builds the stand-ins of the cases into target/review. Run it after the build of deploy/service.toml,
# whose library of the service's sockets, event loop and CBOR the stand-ins use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -Isrc)
libraries=(target/librushtrestle_core.a -lspdlog -lfmt -lhttp_parser -lsexp)
g++ "${flags[@]}" -c review/standins/rig.cpp -o target/review/rig.o
for case in review/[123]/case.cpp; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" target/review/rig.o "${libraries[@]}" -o "target/review/case$number"
done
echo "built: $(cd target/review && echo case*)"
