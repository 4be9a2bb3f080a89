#!/usr/bin/env bash
# Guards against operators of the users' platform who can't ask a daemon where
# a request would go, since the configuration there names no operators, and
# against answers without a token.
#
# Usage: test_explain.sh BUILD-DIRECTORY
set -uo pipefail
. "$(dirname "$0")/lib.sh"
eb_begin "$1" capas

eb_platform
echo viewer-token >"$eb_work/viewer.token"
echo other-token >"$eb_work/other.token"
eb_platform_daemon 1 --viewer-token-file "$eb_work/viewer.token"

explain() { # token file
    "$eb_build/src/ebonyhollow/ebonyhollow" --admin "$(eb_platform_address 1 ready)" \
        --token-file "$1" --output json explain --host h --path /order/a \
        --customer c-1 >"$eb_work/explain.json" 2>"$eb_work/explain.err"
}
order() {
    curl -fsS --max-time 10 -o /dev/null -H 'Host: h' \
        -H "Attempt-Id: order-$(date +%s%N)" -H 'Deadline-Ms: 8000' \
        -H 'Authorization: Bearer k-1' --data-binary '{}' \
        "http://$(eb_platform_address 1 front)/order/a" 2>/dev/null
}
runs() { curl -fsS "http://$eb_host:$eb_server_port/runs"; }
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
    tail -n 20 "$eb_work/front-1.log"
fi
eb_finish
