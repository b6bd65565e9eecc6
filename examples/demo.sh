#!/bin/sh
# Serves the Kura example through separate processes and checks every answer:
#
#   sh examples/demo.sh DIRECTORY_WITH_THE_PROGRAMS
#
# Prints as last line "demo: N requests, N answered whole, 0 lost, 0 doubled"
# and exits with 1 if it is another. Needs no other tools than those of POSIX.
set -u

bin=${1:?name the directory with the programs}
here=$(cd "$(dirname "$0")" && pwd) || exit 1
dir=$(mktemp -d) || exit 1
base=$here/base.json
site=$here/kura/site.json
zones="tbilisi-1 tbilisi-2 tbilisi-3"

# The process ids of what was started, so that exactly these are ended.
nodes=""
standins=""

pause() {
	sleep 0.1 2>/dev/null || sleep 1
}

fail() {
	echo "demo: $*" >&2
	exit 1
}

# start LOG PROGRAM ARGUMENTS... leaves the process id in $pid.
start() {
	log=$dir/$1.log
	shift
	"$@" >"$log" 2>&1 </dev/null &
	pid=$!
}

# field LOG NAME waits until the process logs where it serves and puts the named address into $address.
field() {
	tries=0
	while :; do
		address=$(sed -n '/"message":"serving"/s/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$dir/$1.log" | head -n 1)
		[ -n "$address" ] && return 0
		tries=$((tries + 1))
		if [ $tries -gt 100 ]; then
			cat "$dir/$1.log" >&2
			fail "$1 does not serve"
		fi
		pause
	done
}

# platform NAME starts one of the platform's services and leaves its URL in $url.
platform() {
	start "$1" "$bin/azurechute-standin" "$1"
	standins="$standins $pid"
	field "$1" Address
	url=http://$address
}

# upstream ZONE POOL NUMBER KIND ARGUMENTS... starts an upstream, which enters itself into the VM list.
upstream() {
	name=$1-$2-$3
	zone=$1
	pool=$2
	kind=$4
	shift 4
	start "$name" "$bin/azurechute-standin" "$kind" --name "$name" --zone "$zone" --pool "$pool" \
		--vms "$vms" --leave-time 100ms "$@"
	standins="$standins $pid"
}

# node ZONE starts an entry VM's process and enters it into the VM list, as the platform does.
node() {
	name=$1-entry-1
	cat >"$dir/$name.json" <<SETTINGS
{
  "NodeName": "$name", "Site": "kura", "Zone": "$1", "Region": "tbilisi",
  "ListenHTTP": "127.0.0.1:0", "ListenPeer": "127.0.0.1:0",
  "TableURL": "$table", "ObjectsURL": "$objects", "VMsURL": "$vms",
  "ShutdownLinger": "200ms"
}
SETTINGS
	start "$name" "$bin/azurechute" serve --settings "$dir/$name.json"
	nodes="$nodes $pid"
	field "$name" Peers
	peers=$address
	field "$name" Callers
	urls="$urls --node http://$address"
	"$bin/azurechute-standin" register --vms "$vms" --name "$name" --zone "$1" \
		--address "$address" --peer-address "$peers" || fail "$name cannot be entered into the VM list"
}

# end PIDS... tells processes to end and waits; what has not ended after ten seconds is killed and counts as a failure.
end() {
	ended=0
	for pid in "$@"; do
		kill -TERM "$pid" 2>/dev/null
	done
	for pid in "$@"; do
		tries=0
		while kill -0 "$pid" 2>/dev/null; do
			tries=$((tries + 1))
			if [ $tries -gt 100 ]; then
				echo "process $pid did not end" >&2
				kill -KILL "$pid" 2>/dev/null
				break
			fi
			pause
		done
		wait "$pid" || ended=1
	done
	return $ended
}

cleanup() {
	trap '' INT TERM
	trap - EXIT
	# shellcheck disable=SC2086 # the lists hold process ids, parted by spaces
	end $nodes $standins 2>/dev/null
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

platform table
table=$url
platform objects
objects=$url
platform vms
vms=$url

for zone in $zones; do
	for n in 1 2; do
		upstream "$zone" model $n engine --model general --version 2026.11 --adapter reef-4 \
			--slots 16 --token-time 1ms --prefill-time 1ms
		upstream "$zone" encoder $n service --kind Encoder --service-time 5ms
		upstream "$zone" retriever $n service --kind Retriever --service-time 10ms
		upstream "$zone" reranker $n service --kind Reranker --service-time 8ms
		upstream "$zone" forum $n service --kind Service --service-time 20ms
	done
done

urls=""
for zone in $zones; do
	node "$zone"
done

"$bin/azurechute" config apply --base "$base" --site "$site" --table "$table" --objects "$objects" \
	--operator demo >"$dir/apply.log" 2>&1 || {
	cat "$dir/apply.log" >&2
	fail "the configuration cannot be applied"
}
tail -n 1 "$dir/apply.log"

status=0
# shellcheck disable=SC2086 # $urls holds arguments, parted by spaces
"$bin/azurechute-standin" demo --base "$base" --site "$site" --vms "$vms" $urls >"$dir/demo.log" || status=1
sed '$d' "$dir/demo.log"

# A node that does not end well may have cut something off, so the demo fails with it.
# shellcheck disable=SC2086 # the list holds process ids, parted by spaces
if end $nodes; then
	echo "the nodes ended gracefully"
else
	echo "a node did not end well" >&2
	status=1
fi
nodes=""

if [ $status -ne 0 ] && [ -n "${DEMO_LOGS:-}" ]; then
	cp -R "$dir/." "$DEMO_LOGS"
fi

tail -n 1 "$dir/demo.log"
exit $status
