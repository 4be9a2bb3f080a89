#!/usr/bin/env bash
# A request that crashes every engine that runs it, sent again 20 times with
# load around it: at most 3 servers lost, the others at 99% attainment.
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
eb_check "the others' answers are whole and their own" [ $? -eq 0 ]
crashes=$(curl -fsS "http://$eb_control/status" |
    jq '[.servers[].crashes] | add')
eb_check "at most 3 servers crashed (got $crashes)" [ "$crashes" -le 3 ]
attainment=$(jq .attainment "$eb_work/load.json")
eb_check "the others attain at least 99% (got $attainment)" \
    eb_at_least "$attainment" 0.99
eb_command recife 1 quarantine list
eb_finish
