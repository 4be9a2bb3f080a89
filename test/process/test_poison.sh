#!/usr/bin/env bash
# Guards against a request that crashes every engine on which it runs. It is
# sent 20 times under load: at most 3 servers may crash, and 99% of the other
# requests must be answered in time.
#
# Usage: test_poison.sh BUILD-DIRECTORY
set -uo pipefail
. "$(dirname "$0")/lib.sh"
eb_begin "$1" capas
eb_site=recife
eb_sites=(recife salvador fortaleza)
eb_start_three || exit 1

"$eb_build/test/load/load" --plan "$eb_root/test/load/capas.json" \
    --targets "$(eb_targets recife-1 salvador-1 fortaleza-1)" \
    --control "$eb_control" --rate 60 --seconds 12 --seed 41 \
    --json "$eb_work/load.json" &
pid=$!
sleep 2
for i in $(seq 20); do
    site=${eb_sites[$((i % 3))]}
    eb_submit "$site" 1 selo-pelourinho catalogue-question \
        --input "CRASH-THE-SERVER [id:poison]" >/dev/null 2>&1
    sleep 0.2
done
wait "$pid"
eb_check "the load generator found no violation" [ $? -eq 0 ]
crashes=$(curl -fsS "http://$eb_control/status" |
    jq '[.servers[].crashes] | add')
eb_check "at most 3 servers crashed (got $crashes)" [ "$crashes" -le 3 ]
attainment=$(jq .attainment "$eb_work/load.json")
eb_check "at least 99% of the others are in time (got $attainment)" \
    eb_at_least "$attainment" 0.99
eb_command recife 1 quarantine list

echo "== every daemon is killed and started again"
for site in "${eb_sites[@]}"; do
    eb_kill "$site" 1
done
for site in "${eb_sites[@]}"; do
    eb_daemon "$site" 1 && eb_ready "$site" 1 || exit 1
done
listed() {
    [ "$(eb_command salvador 1 --output json quarantine list |
        jq '[.. | objects | select(.state? == "quarantined")] | length')" \
        -ge 1 ]
}
eb_check "the new daemons know the quarantine" eb_wait 40 listed
eb_submit salvador 1 selo-pelourinho catalogue-question \
    --input "CRASH-THE-SERVER [id:poison]" >/dev/null 2>&1
eb_check "the request is refused as not-run" [ $? -eq 5 ]
after=$(curl -fsS "http://$eb_control/status" |
    jq '[.servers[].crashes] | add')
eb_check "no further server crashed" [ "$after" = "$crashes" ]
fingerprint=$(eb_command salvador 1 --output json quarantine list |
    jq -r '[.. | objects | select(.state? == "quarantined")][0].fingerprint')
eb_check "an operator releases it" \
    eb_command fortaleza 1 quarantine release "$fingerprint"
released() { ! listed; }
eb_check "it is released on the other daemons" eb_wait 40 released
eb_finish
