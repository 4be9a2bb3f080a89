#!/usr/bin/env bash
# Short runs of the soak test with fixed seeds. Seeds that failed before:
# - 107 and 112: the emulator sent one event too many after a resume.
# - 132: a check counted requests that were sent before the faults had ended.
# - 345: restarted daemons inherited the other daemons' connections to the
#   store, which kept them open when the path was cut.
# - 834, within 15 s: SIGTERM reached a daemon before it handled signals.
# - 5013+, 5020+ and 5023+: the daemons had no links, since each knew the store
#   by another address, and each took the whole limit of a server.
#
# Seeds with a + have the extended faults: stores that return from older copies,
# servers that name limits, and configurations of unusual form.
#
# Usage: test/process/test_soak.sh BUILD-DIRECTORY
#            [SECONDS [SEED[+][:SECONDS]...]]
set -uo pipefail
cd "$(dirname "$0")/../.."
build=$1
default_seconds=${2:-6}
shift $(($# < 2 ? $# : 2))
seeds=("$@")
[ ${#seeds[@]} -gt 0 ] || seeds=(1 107 112 132 345 834:15 1+:10 2+:10
    5013+:8 5020+:8 5023+:8)
directory=$(mktemp -d)

status=0
for entry in "${seeds[@]}"; do
    seed=${entry%:*}
    seconds=$default_seconds
    [ "$seed" = "$entry" ] || seconds=${entry#*:}
    options=(--verbose)
    [ "$seed" = "${seed%+}" ] || options+=(--extended)
    if ! "$build/test/soak/soak" --seed "${seed%+}" --seconds "$seconds" \
        "${options[@]}" --program "$build/src/ebonyhollowd/ebonyhollowd" \
        --directory "$directory/$seed" >"$directory/$seed.txt" 2>&1; then
        status=1
        cat "$directory/$seed.txt"
        tail -n 20 "$directory/$seed"/*.log
    fi
    tail -n 1 "$directory/$seed.txt"
done
if [ $status -eq 0 ]; then
    rm -rf "$directory"
else
    echo "the daemons' logs are in $directory"
fi
exit $status
