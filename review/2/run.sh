#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rushtrestle ] || [ ! -x target/review/case2 ]; then
  echo "not built"
  exit 2
fi
timeout 119 target/review/case2 review/2/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
