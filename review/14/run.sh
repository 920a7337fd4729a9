#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/run/bulrushvale-entry.jar ] && [ -d target/review-3/classes ] || exit 2
exec java -Xmx2g -cp target/review-3/classes MovedRoute review/14
