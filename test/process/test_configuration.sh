#!/usr/bin/env bash
# Guards against a configuration change that is not in force on all of eight
# daemons within 4 s or is replaced by an older one, also if the store fails
# right after accepting it or its answer is lost, and against two conflicting
# changes that are both accepted.
#
# Usage: test_configuration.sh BUILD-DIRECTORY
set -uo pipefail
. "$(dirname "$0")/lib.sh"
eb_begin "$1" capas
eb_site=recife
eb_sites=(recife salvador fortaleza)
eb_start_three || exit 1
instances=(recife-1 salvador-1 fortaleza-1)
for pair in recife-2 salvador-2 fortaleza-2 recife-3 salvador-3; do
    eb_daemon "${pair%-*}" "${pair#*-}" || exit 1
    instances+=("$pair")
done

generation() { # SITE-NUMBER
    curl -fsS -H "Authorization: Bearer $(cat "$eb_admin_token")" \
        "http://$(eb_address "${1%-*}" "${1#*-}" admin)/v1/status" |
        jq -r '.generation // 0'
}
all_have() { # number
    local pair
    for pair in "${instances[@]}"; do
        [ "$(generation "$pair")" = "$1" ] || return 1
    done
}
change() { # file queue_max: a document with one changed field
    eb_command recife 1 --output json config show |
        jq --argjson q "$2" '.document // . | .base.pools.encoders.queue_max
            = $q' >"$1"
}

for pair in "${instances[@]}"; do
    eb_ready "${pair%-*}" "${pair#*-}" || exit 1
done
first=$(generation recife-1)
eb_check "the first generation is in force on all eight" \
    eb_wait 40 all_have "$first"

echo "== the store fails right after accepting a change"
change "$eb_work/second.json" 211
eb_command recife 1 config apply "$eb_work/second.json"
eb_fault platform down
eb_check "in force on all eight within 4 s" \
    eb_wait 40 all_have "$((first + 1))"

echo "== a daemon started during the outage"
eb_daemon fortaleza 3 || exit 1
instances+=(fortaleza-3)
eb_check "the configuration is in force on it within 4 s" \
    eb_wait 40 all_have "$((first + 1))"

echo "== stale reads after the outage"
eb_fault platform stale
sleep 3
eb_check "no daemon returned to an older generation" all_have "$((first + 1))"
eb_fault platform none

echo "== two operators apply changes at the same time"
change "$eb_work/race-a.json" 212
change "$eb_work/race-b.json" 213
eb_command recife 1 config apply "$eb_work/race-a.json" >"$eb_work/a.out" 2>&1 &
a=$!
eb_command salvador 1 config apply "$eb_work/race-b.json" \
    >"$eb_work/b.out" 2>&1 &
b=$!
wait "$a"
a=$?
wait "$b"
b=$?
eb_check "one is accepted and the other is told of a conflict (got $a, $b)" \
    [ "$a:$b" = 0:3 -o "$a:$b" = 3:0 ]
eb_check "exactly one more generation is in force on all" \
    eb_wait 40 all_have "$((first + 2))"

echo "== the answer to a change is lost"
change "$eb_work/lost.json" 214
eb_fault platform lose-answer 0 1
eb_command recife 1 config apply "$eb_work/lost.json"
eb_check "the command reports success after reading back" [ $? -eq 0 ]
eb_check "it is in force on all" eb_wait 40 all_have "$((first + 3))"
eb_finish
