#!/usr/bin/env bash
# Guards against idempotent requests that fail, keyed requests that are
# answered with a wrong outcome, and keys that are executed twice, when the
# platform's store is down or loses answers under load.
#
# Usage: test_outage.sh BUILD-DIRECTORY [SECONDS]
set -uo pipefail
. "$(dirname "$0")/lib.sh"
seconds=${2:-12}
eb_begin "$1" kernwerk
eb_site=graz
eb_sites=(graz wien eisenstadt)
eb_start_three || exit 1

"$eb_build/test/load/load" --plan "$eb_root/test/load/kernwerk.json" \
    --targets "$(eb_targets graz-1 wien-1 eisenstadt-1)" \
    --control "$eb_control" --rate 40 --seconds "$((seconds + 6))" \
    --seed 31 --json "$eb_work/load.json" &
pid=$!
sleep 2
eb_fault platform down
sleep "$seconds"
eb_fault platform none
wait "$pid"
eb_check "no answer was cut, crossed or false" [ $? -eq 0 ]
kind_share() { # filter: share of requests done
    jq "[.kinds[] | select($1)] | (map(.done) | add) / (map(.sent) | add)" \
        "$eb_work/load.json"
}
share=$(kind_share '.name | startswith("release") | not')
eb_check "idempotent requests are still served (done: $share)" \
    eb_at_least "$share" 0.99
other=$(jq '[.kinds[] | select(.name | startswith("release"))
    | .not_run + .failed] | add' "$eb_work/load.json")
eb_check "keyed requests that are not done are answered unknown" \
    [ "$other" = 0 ]

echo "== the store loses answers"
eb_fault platform lose-answer 0 40
"$eb_build/test/load/load" --plan "$eb_root/test/load/kernwerk.json" \
    --targets "$(eb_targets graz-1 wien-1 eisenstadt-1)" \
    --control "$eb_control" --rate 30 --seconds 6 --seed 32
eb_check "no key was executed twice although answers were lost" [ $? -eq 0 ]
eb_finish
