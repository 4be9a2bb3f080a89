#!/usr/bin/env bash
# Measures real daemons with stand-ins for the platform and the backend
# servers: processor time when idle, per request and per token, added latency,
# resident memory and bytes exchanged between daemons. Not run by CTest.
#
# Usage: daemon.sh BUILD-DIRECTORY [DAEMONS [IDLE-SECONDS [LOAD-SECONDS]]]
#
# EB_TOKENS: tokens per stream, 12 by default; two runs with different values
# give the cost per token. EB_TIME_SCALE: factor on the service times of the
# stand-ins; with 0.001 the time of a request is that of the daemon, the
# sockets and the stand-ins alone. EB_RATE: requests per second, 30 by default.
#
# Processor time is utime + stime of /proc/PID/stat (ticks of 10 ms), which
# other load on the machine affects only slightly. The time per request
# excludes the time that idle daemons use. Latency is elapsed time and grows
# with other load.
set -uo pipefail
cd "$(dirname "$0")/../process" || exit 1
. ./lib.sh
daemons=${2:-3}
idle_s=${3:-20}
load_s=${4:-12}
rate=${EB_RATE:-30}
eb_begin "$1" capas
eb_site=recife
eb_sites=(recife salvador fortaleza)
ticks_per_s=$(getconf CLK_TCK)
instances=()

# Processor ticks of all daemons together.
ticks() {
    local pair sum=0 one
    for pair in "${instances[@]}"; do
        one=$(sed 's/.*) //' "/proc/$(eb_pid "${pair%-*}" "${pair#*-}")/stat" |
            awk '{print $12 + $13}')
        sum=$((sum + one))
    done
    echo "$sum"
}
# metric FILE REGEX: sum of the matching series.
metric() {
    awk -v pattern="$2" '$0 ~ pattern { sum += $NF }
        END { printf "%.0f\n", sum }' "$1"
}
# Resident memory in kB, smallest and largest.
resident() {
    local pair
    for pair in "${instances[@]}"; do
        awk '/^VmRSS/ { print $2 }' \
            "/proc/$(eb_pid "${pair%-*}" "${pair#*-}")/status"
    done | sort -n | sed -n '1p;$p' | paste -sd' '
}
quotient() { # value divisor
    awk -v v="$1" -v d="$2" 'BEGIN { if (d > 0) printf "%.2f", v / d
        else printf "not measured" }'
}
# snapshot a|b: reads the metrics of all daemons into variables with that
# prefix, a at the start of an interval and b at its end. Reading metrics costs
# the daemons processor time, so ticks are read after the metrics at the start
# and before them at the end.
snapshot() {
    local pair file=$eb_work/metrics
    [ "$1" = a ] || printf -v "$1_ticks" '%s' "$(ticks)"
    for pair in "${instances[@]}"; do
        curl -fsS "http://$(eb_address "${pair%-*}" "${pair#*-}" admin)/metrics"
    done >"$file"
    printf -v "$1_us" '%s' "${EPOCHREALTIME/./}"
    [ "$1" = b ] || printf -v "$1_ticks" '%s' "$(ticks)"
    printf -v "$1_bytes" '%s' "$(metric "$file" '^ebonyhollow_peer_bytes_total')"
    printf -v "$1_messages" '%s' \
        "$(metric "$file" '^ebonyhollow_peer_messages_total')"
    printf -v "$1_calls" '%s' \
        "$(metric "$file" '^ebonyhollow_platform_calls_total')"
    printf -v "$1_requests" '%s' \
        "$(metric "$file" '^ebonyhollow_requests_total')"
    printf -v "$1_tokens" '%s' \
        "$(metric "$file" '^ebonyhollow_generated_tokens_total')"
    printf -v "$1_time" '%s' \
        "$(metric "$file" '^ebonyhollow_request_time_microseconds_sum')"
    printf -v "$1_server" '%s' \
        "$(metric "$file" '^ebonyhollow_server_time_microseconds_total')"
}
# Increase of a counter between the snapshots, per daemon and second.
rate_each() { # before after
    awk -v n="$(($2 - $1))" -v us="$((b_us - a_us))" -v d="${#instances[@]}" \
        'BEGIN { printf "%.2f", n * 1e6 / us / d }'
}

eb_start_three --tokens "${EB_TOKENS:-12}" \
    --time-scale "${EB_TIME_SCALE:-1}" || exit 1
instances=(recife-1 salvador-1 fortaleza-1)
for pair in recife-2 salvador-2 fortaleza-2 recife-3 salvador-3; do
    [ "${#instances[@]}" -lt "$daemons" ] || break
    eb_daemon "${pair%-*}" "${pair#*-}" || exit 1
    instances+=("$pair")
done
for pair in "${instances[@]}"; do
    eb_ready "${pair%-*}" "${pair#*-}" || exit 1
done
echo "daemons: ${#instances[@]}, tokens ${EB_TOKENS:-12}, time scale \
${EB_TIME_SCALE:-1}, $(nproc) cores, load $(cut -d' ' -f1-3 /proc/loadavg)"
echo "resident memory after the start, kB, smallest and largest: $(resident)"

sleep 3
snapshot a
sleep "$idle_s"
snapshot b
idle_ticks=$((b_ticks - a_ticks))
echo "idle, each: $(quotient $(((b_ticks - a_ticks) * 1000000 / ticks_per_s)) \
    $((idle_s * ${#instances[@]}))) us of processor time per second"
echo "idle, each: $(rate_each "$a_bytes" "$b_bytes") bytes/s and $(rate_each \
    "$a_messages" "$b_messages") messages/s in both directions, $(rate_each \
    "$a_calls" "$b_calls") platform calls/s"

targets=$(eb_targets "${instances[@]}")
# The kinds differ in stages and tokens, so that the cost of a stage and that
# of a token can be told apart.
for kind in "catalogue vinil" "liner vinil" "stock vinil" "reorder vinil"; do
    snapshot a
    "$eb_build/test/load/load" --plan "$eb_root/test/load/capas.json" \
        --targets "$targets" --rate "$rate" --seconds "$load_s" \
        --only "$kind" --json "$eb_work/load.json" >"$eb_work/load.out" 2>&1
    sleep 1
    snapshot b
    requests=$((b_requests - a_requests))
    echo "$kind: $requests requests, tokens per request \
$(quotient $((b_tokens - a_tokens)) "$requests"), processor time per request \
$(quotient "$(((b_ticks - a_ticks - idle_ticks * (load_s + 1) / idle_s) \
        * 1000000 / ticks_per_s))" "$requests") us; time in the daemon \
$(quotient $((b_time - a_time)) "$requests") us, of which at servers \
$(quotient $((b_server - a_server)) "$requests") us; platform calls per request \
$(quotient $((b_calls - a_calls)) "$requests"); peer bytes/s each $(rate_each \
    "$a_bytes" "$b_bytes")"
done
# Size of the stored claims, as the ledger's sweep lists them.
for digits in {0..9} {a..f}; do
    for second in {0..9} {a..f}; do
        curl -fsS "http://$eb_platform_host:8500/v1/objects/claims-$digits$second"
    done
done | jq -s -r '[.[].items[]] | map(tojson | length) | sort
    | "stored claims: \(length), bytes in a list: mean \(add / ([length, 1]
      | max) | floor), largest \(last)"'
echo "resident memory after the load, kB, smallest and largest: $(resident)"
echo "load $(cut -d' ' -f1-3 /proc/loadavg)"
