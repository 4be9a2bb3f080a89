#!/usr/bin/env bash
# Guards against operators of the users' platform who can't ask a daemon where
# a request would go, since the configuration there names no operators, and
# against answers without a token.
#
# Usage: test_explain.sh BUILD-DIRECTORY
set -uo pipefail
. "$(dirname "$0")/lib.sh"
eb_begin "$1" capas

host=127.0.0.1
port=$((15000 + $$ * 61 % 15000))
server=$((port + 1))
"$eb_build/test/clients/platform_standin" "$port" "$server" \
    >"$eb_work/standin.log" 2>&1 &
eb_pids+=($!)
cat >"$eb_work/node.yaml" <<YAML
node: "front-1"
zone: "z0"
region: "r"
listen:
  front: "$host:$((port + 2))"
  ready: "$host:$((port + 3))"
  control: "$host:$((port + 4))"
seeds:
  - "$host:$((port + 4))"
limits: {cpu_share: 1.0, cores: 1, memory_mb: 64, max_fds: 300, link_mbps: 1000}
bounds: {grace_s: 8}
platform:
  address: "$host:$port"
YAML
echo viewer-token >"$eb_work/viewer.token"
echo other-token >"$eb_work/other.token"
EBONYHOLLOW_NODE_FILE="$eb_work/node.yaml" \
    "$eb_build/src/ebonyhollowd/ebonyhollowd" --platform \
    --viewer-token-file "$eb_work/viewer.token" >"$eb_work/front.log" 2>&1 &
eb_pids+=($!)

explain() { # token file
    "$eb_build/src/ebonyhollow/ebonyhollow" --admin "$host:$((port + 3))" \
        --token-file "$1" --output json explain --host h --path /order/a \
        --customer c-1 >"$eb_work/explain.json" 2>"$eb_work/explain.err"
}
order() {
    curl -fsS --max-time 10 -o /dev/null -H 'Host: h' \
        -H "Attempt-Id: order-$(date +%s%N)" -H 'Deadline-Ms: 8000' \
        -H 'Authorization: Bearer k-1' --data-binary '{}' \
        "http://$host:$((port + 2))/order/a" 2>/dev/null
}
runs() { curl -fsS "http://$host:$server/runs"; }
refuses() { ! explain "$1" && grep -q 401 "$eb_work/explain.err"; }

eb_check "the daemon serves" eb_wait 30 order
before=$(runs)
eb_check "the token of the option is accepted" \
    explain "$eb_work/viewer.token"
eb_check "the request would go" \
    jq -e '.admission == "goes"' "$eb_work/explain.json"
eb_check "nothing was sent" [ "$(runs)" = "$before" ]
eb_check "another token is refused" refuses "$eb_work/other.token"
if [ "$eb_failures" -ne 0 ]; then
    cat "$eb_work/explain.json" "$eb_work/explain.err"
    tail -n 20 "$eb_work/front.log"
fi
eb_finish
