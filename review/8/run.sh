#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/entryd ] && [ -x target/review-2/standin-2 ] || exit 2
exec target/review-2/standin-2 poison review/8/record.txt
