#!/usr/bin/env bash
# Runs one scenario with the plain policy as baseline and with the adaptive
# policy, both with the same seed, and prints the figures as a table and as
# JSON. Not run by CI.
#
# Usage: run_scenario.sh BUILD-DIRECTORY SCENARIO
#
# SCENARIO is slow, overload, refuse, cut, silent or latency.
# Environment: MEASURE_SECONDS (30), MEASURE_SCALE (24), MEASURE_SEED (7),
# MEASURE_POLICIES ("plain adaptive"), MEASURE_OUT (directory for the JSON),
# MEASURE_INSPECT (if set, also saves the daemons' view there).
#
# The capacities of the example are divided by three and the service times of
# the stand-ins multiplied by MEASURE_SCALE, so that the stand-ins' slots and
# not the machine's processors limit the throughput.
set -uo pipefail
measure_directory=$(cd "$(dirname "$0")" && pwd)
# shellcheck disable=SC1091,SC2034,SC2154
. "$measure_directory/../process/lib.sh"
build=$1
scenario=$2
seconds=${MEASURE_SECONDS:-30}
scale=${MEASURE_SCALE:-24}
seed=${MEASURE_SEED:-7}
plan=$measure_directory/plan.json
fault=none
amount=0
case $scenario in
slow) share=0.8 fault=slow amount=10 ;;
# At scale 22 the limiter admits 110 requests per second, which is below the
# capacity of 115. The customers that keep to their contracts send 0.8 of what
# these allow. The two smallest send 0.5 and 0.4, since even one token bucket
# for all daemons would refuse 2% and 6% of their Poisson arrivals at 0.8.
overload)
    share=1.5 plan=$measure_directory/plan-overload.json
    scale=${MEASURE_SCALE:-22}
    ;;
refuse | cut | silent) share=0.6 fault=$scenario ;;
# 10 requests per second, with unscaled service times.
latency)
    share=0.004
    scale=${MEASURE_SCALE:-1}
    ;;
*)
    echo "unknown scenario $scenario" >&2
    exit 2
    ;;
esac

# Processor time of a process in seconds.
cpu_seconds() {
    awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) / hz }' "/proc/$1/stat"
}

set_faults() {
    [ "$fault" = none ] && return
    local server
    for server in $(jq -r '[.base.backend_servers | to_entries[]]
        | group_by(.value.pool)[] | .[0].key' "$eb_work/configuration.json"); do
        eb_fault "$server" "$fault" "$amount"
    done
}

# Processor time of the stand-ins and of one daemon, as JSON.
describe_cpu() {
    jq -nc --argjson standin "$(cpu_seconds "$eb_standin_pid")" \
        --argjson daemon "$(cpu_seconds "$(eb_pid recife 1)")" \
        '{standin: $standin, one_daemon: $daemon}'
}

# run_policy POLICY FILE: one run in a new deployment; figures go to FILE.
run_policy() {
    EB_SETTINGS="{policy: \"$1\"}"
    eb_begin "$build" capas
    eb_site=recife
    eb_sites=(recife salvador fortaleza)
    jq '.base.backend_servers[].capacity |= (. / 3 | floor)' \
        "$eb_work/configuration.json" >"$eb_work/scaled.json"
    mv "$eb_work/scaled.json" "$eb_work/configuration.json"
    local capacity rate
    capacity=$(jq --slurpfile plan "$plan" --argjson scale "$scale" \
        -f "$measure_directory/capacity.jq" "$eb_work/configuration.json" |
        jq .per_s)
    rate=$(jq -n "$capacity * $share")
    # Status 75 asks for another try: another run on this machine may still use
    # the same loopback addresses.
    eb_start_three --time-scale "$scale" ||
        { tail -n 3 "$eb_work"/*.log >&2; exit 75; }
    "$eb_build/test/load/load" --plan "$plan" --control "$eb_control" \
        --targets "$(eb_targets recife-1 salvador-1 fortaleza-1)" \
        --rate "$rate" --seconds "$seconds" --seed "$seed" \
        --json "$eb_work/load.json" >"$eb_work/load.out" &
    local load_pid=$!
    sleep 3
    set_faults
    wait "$load_pid"
    curl -fsS "http://$eb_control/records" >"$eb_work/records.json"
    jq --arg name "$scenario" --arg policy "$1" \
        --argjson capacity "$capacity" --argjson rate "$rate" \
        --argjson window "$seconds" --argjson cpu "$(describe_cpu)" \
        --slurpfile plan "$plan" --argjson scale "$scale" \
        --slurpfile configuration "$eb_work/configuration.json" \
        --slurpfile records "$eb_work/records.json" \
        -f "$measure_directory/summary.jq" "$eb_work/load.json" >"$2"
    if [ -n "${MEASURE_INSPECT:-}" ]; then
        eb_inspect "$1"
    fi
}

# Saves the daemons' view of servers and requests with the figures.
eb_inspect() {
    local site
    for site in "${eb_sites[@]}"; do
        eb_command "$site" 1 servers --output json \
            >"$out/$scenario-$1-$site-servers.json" 2>&1
        eb_command "$site" 1 requests --output json \
            >"$out/$scenario-$1-$site-requests.json" 2>&1
        curl -fsS "http://$(eb_address "$site" 1 admin)/metrics" \
            >"$out/$scenario-$1-$site-metrics" 2>&1
    done
    cp "$eb_work/load.out" "$out/$scenario-$1-load.out"
}

out=${MEASURE_OUT:-$(mktemp -d)}
files=()
echo "load average $(cut -d' ' -f1-3 /proc/loadavg), $(date -Is)"
for policy in ${MEASURE_POLICIES:-plain adaptive}; do
    file=$out/$scenario-$policy.json
    rm -f "$file"
    for _ in 1 2 3; do
        (run_policy "$policy" "$file")
        status=$?
        [ "$status" -eq 75 ] || break
    done
    [ "$status" -eq 0 ] || exit 1
    files+=("$file")
done
jq -rs '["policy", "rate/s", "capacity/s", "sent", "attain %", "in time/s",
    "of cap %", "extra %"], (.[] | [.policy, (.rate_per_s * 10 | round / 10),
    (.capacity_per_s * 10 | round / 10), .sent, .attainment,
    (.in_time_per_s * 10 | round / 10), .of_capacity, .extra_share])
    | @tsv' "${files[@]}" |
    column -t -s "$(printf '\t')"
jq -c '{policy, mean_beyond_service_ms, first_token_p95_ms, customers,
    outcomes, reasons, violations, cpu_s}' \
    "${files[@]}"
