#!/usr/bin/env bash
# Guards against requests that are cut, and calls that are sent too late, when
# backend servers leave, daemons are restarted or a server falls silent under
# load.
#
# Usage: test_leaving.sh BUILD-DIRECTORY
set -uo pipefail
. "$(dirname "$0")/lib.sh"
eb_begin "$1" capas
eb_site=recife
eb_sites=(recife salvador fortaleza)
eb_start_three || exit 1

health=$(for site in "${eb_sites[@]}"; do
    printf '%s,' "$(eb_address "$site" 1 admin)"
done)
load() { # rate seconds seed
    "$eb_build/test/load/load" --plan "$eb_root/test/load/capas.json" \
        --targets "$(eb_targets recife-1 salvador-1 fortaleza-1)" \
        --health "${health%,}" --control "$eb_control" --rate "$1" \
        --seconds "$2" --seed "$3" --json "$eb_work/load-$3.json"
}
last_call_us() { # server: monotonic time of its last call
    curl -fsS "http://$eb_control/records" |
        jq --arg s "$1" '[.[] | select(.server == $s) | .at_us] | max // 0'
}
now_us() { curl -fsS "http://$eb_control/status" | jq .now_us; }

echo "== a backend server announces that it leaves"
load 60 8 21 >"$eb_work/load-21.out" &
pid=$!
sleep 2
server=$(jq -r '[.base.backend_servers | to_entries[]
    | select(.value.pool == "encoders")][0].key' "$eb_work/configuration.json")
notice_us=$(now_us)
eb_fault "$server" leaving
wait "$pid"
eb_check "the load generator found no violation" [ $? -eq 0 ]
late_us=$(($(last_call_us "$server") - notice_us))
echo "last call $((late_us / 1000)) ms after the notice"
eb_check "no new call later than 2 s after the notice" \
    [ "$late_us" -le 2000000 ]

echo "== the platform lists a backend server as leaving"
other=$(jq -r '[.base.backend_servers | to_entries[]
    | select(.value.pool == "encoders")][1].key' "$eb_work/configuration.json")
load 60 8 22 >"$eb_work/load-22.out" &
pid=$!
sleep 2
notice_us=$(now_us)
curl -fsS "http://$eb_control/instance" -o /dev/null -d "$(jq -nc \
    --arg n "$other" '{name: $n, value: {role: "backend", state: "leaving",
     address: "127.0.0.1:1", failure_domain: "recife"}}')"
wait "$pid"
eb_check "the load generator found no violation" [ $? -eq 0 ]
late_us=$(($(last_call_us "$other") - notice_us))
echo "last call $((late_us / 1000)) ms after the notice"
eb_check "no new call later than 2 s after the notice" \
    [ "$late_us" -le 2000000 ]

echo "== the list of instances changes 100 times without a pause"
lists() { curl -fsS "http://$eb_control/status" | jq .platform.list; }
before=$(lists)
start_us=$(now_us)
for i in $(seq 100); do
    curl -fsS "http://$eb_control/instance" -o /dev/null -d "$(jq -nc \
        --arg n "gone-$i" '{name: $n, value: {role: "daemon", state: "leaving",
         address: "127.0.1.1:9", failure_domain: "recife"}}')"
done
sleep 1
count=$(($(lists) - before))
# Three daemons, one list per 250 ms, and three lists more for each.
most=$((3 * (($(now_us) - start_us) / 250000 + 3)))
eb_check "each daemon lists at most every 250 ms ($count of $most)" \
    [ "$count" -le "$most" ]

echo "== the daemons are restarted one after the other under load"
load 60 14 23 >"$eb_work/load-23.out" &
pid=$!
sleep 1
for site in "${eb_sites[@]}"; do
    daemon=$(eb_pid "$site" 1)
    kill -TERM "$daemon"
    wait "$daemon"
    eb_check "the daemon in $site stopped with status 0" [ $? -eq 0 ]
    eb_daemon "$site" 1 && eb_ready "$site" 1 || exit 1
    sleep 0.5
done
wait "$pid"
eb_check "no request was cut" [ $? -eq 0 ]
tail -n 4 "$eb_work/load-23.out"
eb_check "every request is done" [ "$(jq '[.kinds[] | .done] | add' \
    "$eb_work/load-23.json")" = "$(jq .sent "$eb_work/load-23.json")" ]

echo "== one server of the retrievers falls silent"
silent=$(jq -r '[.base.backend_servers | to_entries[]
    | select(.value.pool == "retrievers")][0].key' \
    "$eb_work/configuration.json")
eb_fault "$silent" silent
load 40 6 24
eb_check "the load generator found no violation" [ $? -eq 0 ]
eb_fault "$silent" none
eb_finish
