#!/usr/bin/env bash
# Guards against a process that ends, hangs or outgrows its memory, and against
# ordinary callers who are no longer served, when clients of forwarded requests
# misbehave: crowds of unfinished bodies, very many fields, requests ahead,
# answers that are not read, and connections without requests.
#
# Usage: test_clients_front.sh BUILD-DIRECTORY [FORM]
set -uo pipefail
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/clients_lib.sh"
eb_begin "$1" capas
only=${2:-}

# The target: the machine has 64 MB, of which 16 are for the program at rest,
# and 300 descriptors, of which a third is left for what isn't a client.
memory_mb=64
max_fds=300
cl_growth_kb=$(((memory_mb - 16) * 1024))
cl_max_fds=$((max_fds * 2 / 3))

host=127.0.0.1
port=$((15000 + $$ * 61 % 15000))
store=$port server=$((port + 1))
front=$host:$((port + 2)) ready=$host:$((port + 3)) peer=$host:$((port + 4))
cat >"$eb_work/node.yaml" <<YAML
node: "front-1"
zone: "z0"
region: "r"
listen:
  front: "$front"
  ready: "$ready"
  control: "$peer"
seeds:
  - "$peer"
limits:
  cpu_share: 1.0
  cores: 1
  memory_mb: $memory_mb
  max_fds: $max_fds
  link_mbps: 1000
bounds:
  grace_s: 8
platform:
  address: "$host:$store"
YAML
"$eb_build/test/clients/platform_standin" "$store" "$server" \
    >"$eb_work/standin.log" 2>&1 &
eb_pids+=($!)

cl_runs() { curl -fsS --max-time 5 "http://$host:$server/runs"; }
number=0
cl_ordinary() {
    number=$((number + 1))
    curl -fsS --max-time 10 -o /dev/null -H 'Host: h' \
        -H "Attempt-Id: ordinary-$number" -H 'Deadline-Ms: 8000' \
        -H 'Authorization: Bearer k-1' --data-binary '{}' \
        "http://$front/order/a" 2>>"$eb_work/ordinary.log" &&
        curl -fsS --max-time 10 -o /dev/null \
            "http://$ready/readyz" 2>>"$eb_work/ordinary.log"
}
start() {
    (
        ulimit -n "$max_fds"
        exec env EBONYHOLLOW_NODE_FILE="$eb_work/node.yaml" \
            "$eb_program" --platform
    ) >>"$eb_work/front.log" 2>&1 &
    cl_pid=$!
    eb_pids+=("$cl_pid")
    cl_served cl_ordinary || exit 1
    cl_rest
}

play() {
    bodies=(short-body short-body-in-pieces chunks whole-body half-close)
    echo "== a path with a route"
    cl_play_forms "$front" /order/a 24 "${bodies[@]}" large-body endless-chunks \
        absurd-length expectation
    cl_play_forms "$front" /order/a 6 small-chunks
    cl_play_forms "$front" /order/a 200 fields whole-fields
    cl_play_forms "$front" /order/a 60 head-by-bytes trailers requests-ahead
    cl_play_forms "$front" /order/a 200 silent opened-and-closed
    cl_play_forms "$front" /order/big 24 answer-unread answer-read-slowly requests-ahead
    cl_play_forms "$front" /order/stream/a 24 answer-unread answer-read-slowly
    echo "== a path without a route"
    cl_play_forms "$front" /none 24 "${bodies[@]}" large-body
    cl_play_forms "$front" /none 200 fields whole-fields
    cl_play_forms "$front" /none 60 requests-ahead
    echo "== the path that says ready, at the callers' address and at its own"
    cl_play_forms "$front" /readyz 24 short-body chunks whole-body
    cl_play_forms "$ready" /readyz 100 short-document "${bodies[@]}" large-body \
        endless-chunks absurd-length expectation
    cl_play_forms "$ready" /readyz 200 fields head-by-bytes trailers \
        requests-ahead
    cl_play_forms "$ready" /readyz 300 silent opened-and-closed
    cl_play_forms "$ready" /metrics 60 requests-ahead
}

cl_passes
eb_finish
