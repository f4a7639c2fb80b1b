#!/bin/sh
# A planned restart while half of the results servers hang.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$folder/../.." && pwd) || exit 2
export ROOT
[ -x "$ROOT/target/review-2/cases" ] && [ -x "$ROOT/target/release/client-proxy" ] || exit 2
exec "$ROOT/target/review-2/cases" restart "$folder"
