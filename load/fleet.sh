#!/bin/sh
# Runs a platform stand-in and N entry hosts as processes of their own, then
# "fireflyfold load" with the arguments given, and prints the processor time and
# memory of each process. Everything listens on loopback and ends with the script.
#
#   load/fleet.sh N [layout] -- --mix rosenau-requests --rate 500,1000 --time 5s
#
# FLEET_BASE_PORT (7400) is the first of some 30 ports. FLEET_PLATFORM_FLAGS are
# handed to fireflyfold-platform, FLEET_SETTINGS is added to the settings of every host,
# FLEET_BEFORE is a command that runs before the load, FLEET_LOGS is a directory that the
# logs are copied to. FLEET_IDLE is for how many seconds the fleet is measured without
# any load; the load then does not run. FLEET_SETTLE (5) is how many seconds pass first.
set -eu

count=$1
shift
layout=rosenau
if [ "${1:-}" != "--" ]; then
	layout=$1
	shift
fi
shift

base=${FLEET_BASE_PORT:-7400}
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
platform=
hosts=
stop() {
	# The hosts go first: a planned stop hands its leases back to the platform.
	for pid in $hosts; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in $hosts; do
		wait "$pid" 2>/dev/null || true
	done
	[ -z "$platform" ] || kill "$platform" 2>/dev/null || true
	[ -z "${FLEET_LOGS:-}" ] || cp "$dir"/*.log "$FLEET_LOGS"
	rm -rf "$dir"
}
trap stop EXIT
trap 'exit 130' INT TERM HUP PIPE

(cd "$root" && go build -o "$dir/" ./cmd/fireflyfold ./cmd/fireflyfold-platform)

case $layout in
rosenau) region=oberbayern ;;
sabzkhata) region=punjab ;;
*)
	echo "unknown layout $layout" >&2
	exit 2
	;;
esac
zones="$region-1, $region-2, $region-3, $region-4"
token=operator-token-for-the-tour
hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)

# Zone of the n-th host: 3+2+2+2 hosts, dealt out in turn.
zone_of() { echo $((($1 - 1) % 4 + 1)); }
api_of() { echo $((base + 10 + 2 * $1)); }

flags=
apis=
n=1
while [ "$n" -le "$count" ]; do
	zone=$region-$(zone_of "$n")
	api=$(api_of "$n")
	flags="$flags --host $zone/h$n=127.0.0.1:$((api + 1))"
	apis="$apis${apis:+,}127.0.0.1:$api"
	cat >"$dir/h$n.ini" <<INI
[host]
name = h$n
zone = $zone
api  = 127.0.0.1:$api
peer = 127.0.0.1:$((api + 1))
[platform]
log   = 127.0.0.1:$((base + $(zone_of "$n")))
hosts = 127.0.0.1:$((base + $(zone_of "$n")))
[zones]
configured = $zones
[peers]
secret = secret-of-the-measured-fleet
[operators]
tour = $hash
${FLEET_SETTINGS:-}
INI
	n=$((n + 1))
done

# shellcheck disable=SC2086 # the flags are words
"$dir/fireflyfold-platform" --layout "$layout" --listen "127.0.0.1:$base" $flags ${FLEET_PLATFORM_FLAGS:-} >"$dir/platform.log" 2>&1 &
platform=$!
n=1
while [ "$n" -le "$count" ]; do
	"$dir/fireflyfold" serve --settings "$dir/h$n.ini" >"$dir/h$n.log" 2>&1 &
	hosts="$hosts $!"
	n=$((n + 1))
done

first=127.0.0.1:$(api_of 1)
ready=0
for _ in $(seq 1 200); do
	if curl -sf "http://$first/readyz" >/dev/null; then
		ready=1
		break
	fi
	sleep 0.1
done
if [ "$ready" = 0 ]; then
	cat "$dir"/*.log >&2
	exit 1
fi

export FIREFLYFOLD_KEY="$token"
keys=
cd "$dir"
for team in one two three four five six; do
	./fireflyfold plan --host "$first" --team "$team" --limit 4000 --share 1 --out team.plan >plan.log 2>&1 || { cat plan.log >&2; exit 1; }
	./fireflyfold confirm --host "$first" team.plan >plan.log 2>&1 || { cat plan.log >&2; exit 1; }
	./fireflyfold plan --host "$first" --give-key "$team" --out key.plan --json >key.json 2>plan.log || { cat plan.log >&2; exit 1; }
	./fireflyfold confirm --host "$first" key.plan >plan.log 2>&1 || { cat plan.log >&2; exit 1; }
	keys="$keys${keys:+,}$(sed -n 's/.*"key": *"\([^"]*\)".*/\1/p' key.json | tail -n 1)"
done
sleep "${FLEET_SETTLE:-5}"
[ -z "${FLEET_BEFORE:-}" ] || sh -c "$FLEET_BEFORE"

pids="$platform $hosts"

# Ticks of processor time of a process.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
# Bytes of one kind of traffic so far: platform, peers or workers.
traffic() { curl -sf "http://127.0.0.1:$base/traffic" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }

began=$(date +%s)
before=
for pid in $pids; do
	before="$before $(ticks "$pid")"
done
bytes="$(traffic platform) $(traffic peers) $(traffic workers)"
status=0
if [ -n "${FLEET_IDLE:-}" ]; then
	sleep "$FLEET_IDLE"
else
	FIREFLYFOLD_KEYS="$keys" ./fireflyfold load --hosts "$apis" --audit "127.0.0.1:$base" "$@" || status=$?
fi
took=$(($(date +%s) - began))
bytes="$bytes $(traffic platform) $(traffic peers) $(traffic workers)"

i=0
for pid in $pids; do
	i=$((i + 1))
	then=$(echo "$before" | awk -v i="$i" '{print $i}')
	peak=$(awk '/^VmHWM/ {print $2}' "/proc/$pid/status")
	name=platform
	[ "$pid" = "$platform" ] || name=h$((i - 1))
	echo "$name: $((($(ticks "$pid") - then) * 10)) ms of processor time in $took s, peak $((peak / 1024)) MiB"
done
echo "$bytes" | awk -v t="$took" -v n="$count" '{
	printf "bytes a second for each host: platform %d, peers of other zones %d, workers %d\n", ($4-$1)/t/n, ($5-$2)/t/n, ($6-$3)/t/n
}'
exit "$status"
