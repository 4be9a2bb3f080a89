#!/usr/bin/env bash
# Guards against a daemon that starts after the store returned from an older
# copy, and serves by the copy's configuration although a running daemon knows
# the newer one.
#
# Usage: test_restored_start.sh BUILD-DIRECTORY
set -uo pipefail
. "$(dirname "$0")/lib.sh"
eb_begin "$1" capas

host=127.0.0.1
port=$((15000 + $$ * 61 % 15000))
server=$((port + 1))
"$eb_build/test/clients/platform_standin" "$port" "$server" \
    >"$eb_work/standin.log" 2>&1 &
eb_pids+=($!)

# start NUMBER: starts daemon 1 or 2; both have the same seed, daemon 1.
start() {
    local base=$((port + 3 * $1))
    cat >"$eb_work/node-$1.yaml" <<YAML
node: "front-$1"
zone: "z0"
region: "r"
listen:
  front: "$host:$base"
  ready: "$host:$((base + 1))"
  control: "$host:$((base + 2))"
seeds:
  - "$host:$((port + 5))"
limits: {cpu_share: 1.0, cores: 1, memory_mb: 64, max_fds: 300, link_mbps: 1000}
bounds: {grace_s: 8}
platform:
  address: "$host:$port"
YAML
    EBONYHOLLOW_NODE_FILE="$eb_work/node-$1.yaml" \
        "$eb_build/src/ebonyhollowd/ebonyhollowd" --platform \
        >"$eb_work/front-$1.log" 2>&1 &
    eb_pids+=($!)
}

# order NUMBER: sends a request and prints the status of its answer.
order() {
    curl -sS --max-time 10 -o /dev/null -w '%{http_code}\n' -H 'Host: h' \
        -H "Attempt-Id: order-$(date +%s%N)" -H 'Deadline-Ms: 8000' \
        -H 'Authorization: Bearer k-1' --data-binary '{}' \
        "http://$host:$((port + 3 * $1))/order/a" 2>/dev/null |
        tee -a "$eb_work/statuses-$1"
}
serves() { [ "$(order "$1")" = 200 ]; }
restored() { grep -q store-restored "$eb_work/front-1.log"; }

start 1
eb_check "the first daemon serves" eb_wait 30 serves 1
curl -fsS -o /dev/null "http://$host:$server/restore"
eb_check "the first daemon sees that the store was restored" \
    eb_wait 30 restored
sleep 1 # it lists the copy
start 2
eb_check "a daemon that starts then serves by the newer configuration" \
    eb_wait 30 serves 2
eb_check "it never served by the older one" \
    [ "$(grep -c 404 "$eb_work/statuses-2")" -eq 0 ]
eb_check "the first daemon still serves" serves 1
if [ "$eb_failures" -ne 0 ]; then
    sort "$eb_work/statuses-2" | uniq -c
    tail -n 20 "$eb_work/front-2.log"
fi
eb_finish
