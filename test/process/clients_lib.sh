# Functions for the tests with clients that misbehave; to be sourced after
# lib.sh.
#
# The bounds come from the target that the settings name, not from a measured
# figure; the bound of memory is on the growth from the size at rest. The
# sanitizer keeps much of what is freed, so the memory of a sanitizer build
# says little about what the daemon holds: there, a second pass plays all crowds
# against a plain build and repeats all checks, with that of memory.
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1"
ASAN_OPTIONS+=":thread_local_quarantine_size_kb=64"
ASAN_OPTIONS+=":allocator_release_to_os_interval_ms=100"

# cl_passes: plays all crowds with the script's `play`, in one pass or in two.
cl_passes() {
    eb_program=$eb_build/src/ebonyhollowd/ebonyhollowd
    cl_checks_memory=true
    if grep -q '^EB_SANITIZE:BOOL=ON' "$eb_build/CMakeCache.txt"; then
        cl_checks_memory=false
        echo "==== sanitizer build"
        start
        play
        cl_stop
        cl_build_plain || exit 1
        cl_checks_memory=true
        echo "==== plain build"
    fi
    start
    play
    cl_stop
}

# cl_build_plain: builds the daemon without sanitizers and sets eb_program.
cl_build_plain() {
    local plain=$eb_build/plain
    if ! { cmake -S "$eb_root" -B "$plain" -G Ninja -DEB_SANITIZE=OFF \
        -DEB_TESTS=OFF && cmake --build "$plain" --target ebonyhollowd; } \
        >"$eb_work/plain-build.log" 2>&1; then
        tail -n 20 "$eb_work/plain-build.log"
        return 1
    fi
    eb_program=$plain/src/ebonyhollowd/ebonyhollowd
}

# cl_kb FIELD: prints a size of the daemon from /proc.
cl_kb() { awk -v f="$1:" '$1 == f { print $2 }' "/proc/$cl_pid/status"; }

cl_descriptors() { ls "/proc/$cl_pid/fd" 2>/dev/null | wc -l; }

cl_lives() { kill -0 "$cl_pid" 2>/dev/null && [ -n "$(cl_kb VmRSS)" ]; }

# cl_rest: takes the daemon's size at rest, after one ordinary request.
cl_rest() {
    cl_ordinary || echo "no ordinary request before the crowds"
    cl_rest_kb=$(cl_kb VmRSS)
    echo "at rest: $cl_rest_kb kB, $(cl_descriptors) descriptors"
}

# cl_served COMMAND...: repeats an ordinary request, as callers do after a
# refusal, until it is answered.
cl_served() {
    local i
    for i in $(seq 12); do
        "$@" && return 0
        sleep 1
    done
    return 1
}

# cl_none_ran FILE: tells whether no request that was refused has run, by the
# stand-in's own record.
cl_none_ran() {
    cl_runs >"$eb_work/runs"
    ! sed -n 's/^refused //p' "$1" | grep -qxFf "$eb_work/runs"
}

# cl_play NAME ADDRESS FORM PATH COUNT: plays one crowd and checks the daemon
# while the crowd holds its connections, and after it has ended.
cl_play() {
    local name=$1 address=$2 form=$3 path=$4 count=$5
    local out=$eb_work/crowd.out before=$eb_failures peak fds
    rm -f "$out" "$eb_work/input"
    mkfifo "$eb_work/input"
    echo 5 2>/dev/null >"/proc/$cl_pid/clear_refs"
    "$eb_build/test/clients/crowd" "$address" "$form" "$path" "$count" \
        <"$eb_work/input" >"$out" &
    local crowd=$!
    eb_pids+=("$crowd")
    exec 9>"$eb_work/input"
    eb_wait 900 grep -q held "$out"
    cl_lives && cl_served cl_ordinary
    local during=$?
    peak=$(cl_kb VmHWM) fds=$(cl_descriptors)
    exec 9>&-
    wait "$crowd"
    cl_lives && cl_served cl_ordinary
    local after=$?
    local growth=$((${peak:-0} - cl_rest_kb))
    echo "$name: $growth kB more (bound $cl_growth_kb), $fds descriptors" \
        "(bound $cl_max_fds); $(grep -c refused "$out") refused;" \
        "$(grep answer "$out" | sort | uniq -c | tr -s ' \n' ' ')"
    eb_check "$name: the process lives" cl_lives
    if "$cl_checks_memory"; then
        eb_check "$name: memory stays under the bound" \
            [ "$growth" -le "$cl_growth_kb" ]
    fi
    eb_check "$name: descriptors stay under the bound" \
        [ "$fds" -le "$cl_max_fds" ]
    eb_check "$name: an ordinary request is answered beside the crowd" \
        [ "$during" -eq 0 ]
    eb_check "$name: an ordinary request is answered afterwards" \
        [ "$after" -eq 0 ]
    eb_check "$name: nothing that was refused has run" cl_none_ran "$out"
    if [ "$eb_failures" -ne "$before" ]; then
        cl_restart # so that the next form starts from rest
    fi
}

# cl_stop: ends the daemon in order.
cl_stop() {
    kill -TERM "$cl_pid"
    wait "$cl_pid"
    eb_check "the daemon stops with status 0" [ $? -eq 0 ]
}

# cl_restart: kills the daemon and starts it again with the script's `start`.
cl_restart() {
    kill -KILL "$cl_pid" 2>/dev/null
    wait "$cl_pid" 2>/dev/null
    start
}

# cl_play_forms ADDRESS PATH COUNT FORM...: plays each form, or only the one that
# `only` names.
cl_play_forms() {
    local address=$1 path=$2 count=$3 form
    shift 3
    for form in "$@"; do
        [ -z "$only" ] || [ "$only" = "$form" ] || continue
        cl_play "$form at $path" "$address" "$form" "$path" "$count"
    done
}
