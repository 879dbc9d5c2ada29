#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rushtrestle ] || [ ! -x target/review/case3 ]; then
  echo "not built"
  exit 2
fi
timeout 115 target/review/case3 review/3/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
