#!/usr/bin/env bash
# Guards against a daemon that starts after the store returned from an older
# copy, and serves by the copy's configuration although a running daemon knows
# the newer one.
#
# Usage: test_restored_start.sh BUILD-DIRECTORY
set -uo pipefail
. "$(dirname "$0")/lib.sh"
eb_begin "$1" capas

eb_platform

# order NUMBER: sends a request and prints the status of its answer.
order() {
    curl -sS --max-time 10 -o /dev/null -w '%{http_code}\n' -H 'Host: h' \
        -H "Attempt-Id: order-$(date +%s%N)" -H 'Deadline-Ms: 8000' \
        -H 'Authorization: Bearer k-1' --data-binary '{}' \
        "http://$(eb_platform_address "$1" front)/order/a" 2>/dev/null |
        tee -a "$eb_work/statuses-$1"
}
serves() { [ "$(order "$1")" = 200 ]; }
restored() { grep -q store-restored "$eb_work/front-1.log"; }

eb_platform_daemon 1
eb_check "the first daemon serves" eb_wait 30 serves 1
curl -fsS -o /dev/null "http://$eb_host:$eb_server_port/restore"
eb_check "the first daemon sees that the store was restored" \
    eb_wait 30 restored
sleep 1 # it lists the copy
eb_platform_daemon 2
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
