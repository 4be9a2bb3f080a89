#!/usr/bin/env bash
# Guards against wrong exit statuses and messages of the daemon's command line,
# requests that are cut by a graceful shutdown, a second signal that does not
# end the wait, a signal during the start that ends the process, and settings
# that a reload ignores without a word.
#
# Usage: test_daemon.sh BUILD-DIRECTORY
set -uo pipefail
. "$(dirname "$0")/lib.sh"
eb_begin "$1" capas
eb_site=recife
eb_sites=(recife)
eb_start_three || exit 1
daemon=$eb_build/src/ebonyhollowd/ebonyhollowd
settings=$eb_work/recife-1.json

exits_with() { # expected status, command...
    local expected=$1 got=0
    shift
    "$@" >"$eb_work/out" 2>&1 || got=$?
    [ "$got" = "$expected" ] || { cat "$eb_work/out"; return 1; }
}

echo "== command line"
eb_check "--version" exits_with 0 "$daemon" --version
eb_check "--help" exits_with 0 "$daemon" --help
eb_check "--config is required" exits_with 2 "$daemon"
eb_check "an unknown option is refused" exits_with 2 "$daemon" --fast
eb_check "a missing file is refused" exits_with 2 "$daemon" --config /none
eb_check "an unknown log level is refused" \
    exits_with 2 "$daemon" --config "$settings" --log-level loud
eb_check "valid settings" exits_with 0 "$daemon" --config "$settings" --check
jq '.caller.port = 70000' "$settings" >"$eb_work/range.json"
eb_check "a port out of range is refused" \
    exits_with 2 "$daemon" --config "$eb_work/range.json" --check
eb_check "the error names file, line, column, path and found value" \
    grep -qE 'range.json:[0-9]+:[0-9]+: \$.caller.port: .*70000' "$eb_work/out"
jq '.instnace = .instance | del(.instance)' "$settings" >"$eb_work/name.json"
eb_check "a misspelt field is refused" \
    exits_with 2 "$daemon" --config "$eb_work/name.json" --check
eb_check "the error names the nearest field" \
    grep -q '"*instance"*' "$eb_work/out"
eb_check "an address in use ends the start" \
    exits_with 1 "$daemon" --config "$settings"

echo "== explain answers without sending anything"
records() { curl -fsS "http://$eb_control/records" | jq -S .; }
explained() { # jq filter
    eb_command recife 1 explain --host h --customer vinil-boa-viagem --json \
        --path "/v1/pipelines/$1" >"$eb_work/explain.json" &&
        jq -e "$2" "$eb_work/explain.json" >/dev/null ||
        { cat "$eb_work/explain.json"; return 1; }
}
records >"$eb_work/records.before"
eb_check "a request would go to a server" explained catalogue-question \
    '.admission == "goes" and .choice != null
     and (.servers | map(select(.chosen)) | length) == 1
     and (.stages | length) >= 3
     and all(.stages[]; .home == "capas-recife-1")'
eb_check "a request with a key would claim it first" explained reorder-note \
    '.admission == "waits" and .waits_for == "claim"'
eb_check "an unknown pipeline is refused" explained none \
    '.admission == "refused" and .reason == "unknown-pipeline"'
eb_check "no backend server was called" \
    cmp "$eb_work/records.before" <(records)
eb_check "the daemon counted no request" [ "$(eb_command recife 1 status \
    --output json | jq '[.attainment.requests[], .stages[]] | length')" = 0 ]

echo "== SIGHUP reads the settings again"
log=$eb_work/recife-1.log
logged() { # number of lines, pattern
    [ "$(grep -cE "$2" "$log")" -ge "$1" ]
}
cp "$settings" "$eb_work/settings.json"
jq '.log_level = "debug" | .max_requests = 99' "$eb_work/settings.json" \
    >"$settings"
kill -HUP "$(eb_pid recife 1)"
eb_check "the level is in force, the other setting is named" eb_wait 50 logged \
    1 'settings-reloaded.*"applied":"log_level","restart":"max_requests"'
echo '{' >"$settings"
kill -HUP "$(eb_pid recife 1)"
eb_check "an invalid file is refused with its cause" \
    eb_wait 50 logged 1 'settings-refused.*"cause":".*recife-1.json'
cp "$eb_work/settings.json" "$settings"
kill -HUP "$(eb_pid recife 1)"
eb_check "a later valid file is in force" eb_wait 50 logged 1 \
    'settings-reloaded.*"applied":"log_level","restart":""'

draining() {
    curl -s "http://$(eb_address recife 1 admin)/readyz" | grep -q draining
}
live() { # number of live requests
    [ "$(curl -fsS -H "Authorization: Bearer $(cat "$eb_admin_token")" \
        "http://$(eb_address recife 1 admin)/v1/status" |
        jq .live_requests)" = "$1" ]
}

echo "== a shutdown waits for running requests"
eb_fault retrievers slow 150
eb_submit recife 1 vinil-boa-viagem --output json catalogue-question \
    --input "Which sleeves? [id:drain]" >"$eb_work/drain.out" 2>/dev/null &
submit=$!
eb_check "the request is running" eb_wait 50 live 1
kill -TERM "$(eb_pid recife 1)"
eb_check "readiness is false while the listener is open" eb_wait 20 draining
wait "$submit"
eb_check "the request is done" [ "$(eb_outcome "$eb_work/drain.out")" = done ]
wait "$(eb_pid recife 1)"
eb_check "the exit status is 0" [ $? -eq 0 ]
eb_fault retrievers none

echo "== a second signal ends the wait for running requests"
eb_daemon recife 1 && eb_ready recife 1 || exit 1
eb_fault orders slow 400
eb_submit recife 1 vinil-boa-viagem --output json reorder-note --key cut-1 \
    --input "Reorder [id:cut-1]" >"$eb_work/cut.out" 2>/dev/null &
submit=$!
was_executed() { [ "$(eb_runs cut-1)" -ge 1 ]; }
eb_check "the service began to execute the key" eb_wait 50 was_executed
kill -TERM "$(eb_pid recife 1)"
eb_check "the daemon drains" eb_wait 20 draining
kill -TERM "$(eb_pid recife 1)"
wait "$submit"
eb_check "the call in flight is answered unknown" \
    [ "$(eb_outcome "$eb_work/cut.out")" = unknown ]
wait "$(eb_pid recife 1)"
eb_check "the exit status is 3" [ $? -eq 3 ]

echo "== signals before the daemon has read its settings"
mkfifo "$eb_work/late.json"
start_with_signal() { # signal
    "$daemon" --config "$eb_work/late.json" >>"$eb_work/late.log" 2>&1 &
    late=$!
    eb_pids+=("$late")
    exec 3>"$eb_work/late.json" # returns once the daemon has opened it
    kill -s "$1" "$late"
    cat "$settings" >&3 2>/dev/null
    exec 3>&-
}
start_with_signal TERM
wait "$late"
eb_check "SIGTERM during the start is a shutdown with exit status 0" \
    [ $? -eq 0 ]
start_with_signal HUP
eb_check "SIGHUP during the start doesn't end the daemon" \
    eb_wait 200 curl -fsS "http://$(eb_address recife 1 admin)/healthz" \
    -o /dev/null
kill -TERM "$late"
wait "$late"
eb_check "the exit status is 0" [ $? -eq 0 ]
eb_finish
