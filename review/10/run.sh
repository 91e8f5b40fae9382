#!/bin/sh
# A long value that is being written while operators empty the broker. TROUBLE=0 leaves the disruption out. Needs the build of the
# deploy file and review/build-2.sh. Ends with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
player=target/review-2/release/review-2
[ -x "$player" ] || { echo "$player is missing: run review/build-2.sh" >&2; exit 2; }
exec "$player" case leave-upload review/10
