#!/bin/sh
# Exits with 1 if less than a quarter is served after RecoveryS; 0 if more is; 2 if the case could not run.
# TROUBLE=0 plays the same without the entries of the other writer.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chivemill-edge ] && [ -x target/review3-large-entries ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec timeout --preserve-status -s TERM -k 2 117 target/review3-large-entries -trouble=$trouble -record review/14/record.txt
