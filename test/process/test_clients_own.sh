#!/usr/bin/env bash
# Guards against a process that ends, hangs or outgrows its memory, and against
# ordinary callers who are no longer served, when clients of the product's own
# interface misbehave, at the callers' address and at that of operators.
#
# Usage: test_clients_own.sh BUILD-DIRECTORY [FORM]
set -uo pipefail
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/clients_lib.sh"
eb_begin "$1" capas
eb_site=recife
only=${2:-}

# The target: 32 MiB for what is held for clients, and half as much again for
# copies of it; no more connections than the two listeners may have.
client_memory_bytes=$((32 * 1024 * 1024))
cl_growth_kb=$((client_memory_bytes * 3 / 2 / 1024))
cl_max_fds=$((64 + 256 + 40))
EB_SETTINGS=$(jq -nc --argjson b "$client_memory_bytes" \
    '{client_memory_bytes: $b, max_body_bytes: 4194304, max_requests: 32,
      max_connections: 64, max_buffer_bytes: 65536,
      header_timeout_ms: 60000}')

cl_runs() { curl -fsS "http://$eb_control/runs" | jq -r 'keys[]'; }
cl_ordinary() {
    curl -fsS --max-time 10 -o /dev/null -H 'Content-Type: application/json' \
        -H "Authorization: Bearer $(cat "$(eb_token "$customer")")" \
        --data-binary '{"input":"a question"}' \
        "http://$caller/v1/pipelines/$pipeline" 2>>"$eb_work/ordinary.log" &&
        curl -fsS --max-time 10 -o /dev/null "http://$admin/readyz" \
            2>>"$eb_work/ordinary.log"
}
start() {
    eb_daemon recife 1 || exit 1
    cl_pid=$(eb_pid recife 1)
    caller=$(eb_address recife 1 caller)
    admin=$(eb_address recife 1 admin)
    [ -e "$eb_work/apply.log" ] ||
        eb_command recife 1 config apply "$eb_work/configuration.json" \
            >"$eb_work/apply.log" 2>&1
    eb_ready recife 1
    cl_rest
}

customer=$(jq -r '.base.customers | keys[0]' "$eb_work/configuration.json")
pipeline=catalogue-question
eb_standin || exit 1
CROWD_TOKEN=$(cat "$(eb_token "$customer")")
export CROWD_TOKEN
play() {
    path=/v1/pipelines/$pipeline
    bodies=(short-body short-body-in-pieces chunks whole-body half-close)
    echo "== the callers' address"
    cl_play_forms "$caller" "$path" 24 "${bodies[@]}" large-body endless-chunks \
        absurd-length expectation
    cl_play_forms "$caller" "$path" 6 small-chunks
    cl_play_forms "$caller" "$path" 200 fields whole-fields
    cl_play_forms "$caller" "$path" 60 head-by-bytes trailers requests-ahead
    cl_play_forms "$caller" "$path" 200 silent opened-and-closed
    cl_play_forms "$caller" "$path" 60 answer-unread
    echo "== paths that do not exist"
    cl_play_forms "$caller" /none 24 "${bodies[@]}"
    cl_play_forms "$caller" /none 60 requests-ahead fields
    echo "== the operators' address"
    cl_play_forms "$admin" /readyz 100 short-document "${bodies[@]}" large-body endless-chunks
    cl_play_forms "$admin" /v1/config 100 short-document whole-body
    cl_play_forms "$admin" /metrics 200 fields head-by-bytes trailers requests-ahead
    cl_play_forms "$admin" /metrics 300 silent opened-and-closed
}

cl_passes
eb_finish
