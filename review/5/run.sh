#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# out the disruption; SEED chooses the random numbers of the stand-ins.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/carobmill ] && [ -x target/harness ] || { echo "build first" >&2; exit 2; }
exec target/harness late-request "$here/record.txt"
