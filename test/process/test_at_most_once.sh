#!/usr/bin/env bash
# Guards against a key that is executed twice, and against an answer that says
# not-run although the key was executed, when daemons are killed or suspended
# (SIGSTOP) before or during the non-idempotent call.
#
# Usage: test_at_most_once.sh BUILD-DIRECTORY
set -uo pipefail
. "$(dirname "$0")/lib.sh"
eb_begin "$1" capas
eb_site=recife
eb_sites=(recife salvador fortaleza)
eb_start_three || exit 1

submit_note() { # site key file: sends a reorder note, answer as JSON
    eb_submit "$1" 1 vinil-boa-viagem --output json reorder-note --key "$2" \
        --input "Reorder [id:$2]" --timeout-ms 9000 >"$3" 2>/dev/null
}

was_executed() { [ "$(eb_runs "$1")" -ge 1 ]; }

echo "== the owner is killed while the service runs the call"
eb_fault orders slow 400
submit_note recife killed "$eb_work/first" &
submit=$!
eb_check "the service began to execute the key" eb_wait 80 was_executed killed
eb_kill recife 1
wait "$submit"
submit_note fortaleza killed "$eb_work/second"
eb_check "the repeat is answered unknown or done" \
    grep -qE '^(unknown|done)$' <(eb_outcome "$eb_work/second")
sleep 4
eb_fault orders none
submit_note salvador killed "$eb_work/third"
eb_check "a later repeat is answered as the service recorded" \
    [ "$(eb_outcome "$eb_work/third")" = done ]
eb_check "the key was executed once" [ "$(eb_runs killed)" = 1 ]

echo "== the owner is killed before the call"
eb_daemon recife 1 && eb_ready recife 1 || exit 1
eb_fault retrievers slow 400
submit_note recife early "$eb_work/early-first" &
submit=$!
sleep 1
eb_kill recife 1
wait "$submit"
eb_fault retrievers none
submit_note fortaleza early "$eb_work/early-second"
eb_check "the repeat is answered unknown" \
    [ "$(eb_outcome "$eb_work/early-second")" = unknown ]
eb_check "the key was never executed" [ "$(eb_runs early)" = 0 ]

echo "== the owner is stopped until its hold has expired"
eb_daemon recife 1 && eb_ready recife 1 || exit 1
eb_fault retrievers slow 400
submit_note recife paused "$eb_work/paused-first" &
submit=$!
sleep 1
kill -STOP "$(eb_pid recife 1)"
eb_fault retrievers none
sleep 32 # longer than the hold of 30 s
kill -CONT "$(eb_pid recife 1)"
wait "$submit"
sleep 2
eb_check "the resumed owner did not send the call" \
    [ "$(eb_runs paused)" = 0 ]

echo "== three daemons receive the same key at once"
for site in recife salvador fortaleza; do
    submit_note "$site" twins "$eb_work/twin-$site" &
done
wait %+ 2>/dev/null
eb_wait 100 test -s "$eb_work/twin-recife" -a -s "$eb_work/twin-salvador" \
    -a -s "$eb_work/twin-fortaleza"
eb_check "the key was executed once" [ "$(eb_runs twins)" = 1 ]
for site in recife salvador fortaleza; do
    eb_check "the copy in $site is answered done" \
        [ "$(eb_outcome "$eb_work/twin-$site")" = done ]
done
eb_finish
