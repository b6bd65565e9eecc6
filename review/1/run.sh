#!/bin/sh
# RECOVER: all machines and all replicas lose power together; the machines are back after 1 s, the replicas after 5 s.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the machines alone.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/.bin/standin ] && [ -x target/azurechute ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec review/.bin/standin replicas-gone "$here/record.txt"
