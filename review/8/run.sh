#!/bin/bash
# Case 8: TROUBLE=0 plays the same without the freezes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chivemill-edge ] && [ -x target/review-frozen-reader ] || exit 2
timeout -k 2 115 target/review-frozen-reader review/8/record.txt
status=$?
[ $status -le 1 ] && exit $status
exit 2
