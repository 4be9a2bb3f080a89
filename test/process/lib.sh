# Functions for the tests that run real processes; to be sourced.
#
# The addresses of the example deployments (10.x) are mapped to loopback
# addresses (127.x).

eb_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
eb_pids=()

# eb_begin BUILD-DIRECTORY DEPLOYMENT: sets up the work directory and waits for
# other process tests to end.
eb_begin() {
    eb_build=$1
    eb_deployment=$2
    eb_work=$(mktemp -d)
    eb_acquire_lock || exit 1
    eb_admin_token=$eb_work/admin-token
    printf 'demo-%s-on-call' "$eb_deployment" >"$eb_admin_token"
    trap eb_end EXIT
    eb_map_hosts <"$eb_root/examples/$eb_deployment/configuration.json" \
        >"$eb_work/configuration.json"
}

# Only one process test runs on a machine at a time: the addresses of the
# examples are fixed, so that daemons of two runs would connect to each other.
# The lock is a directory with the holder's process id; a lock whose holder has
# ended is removed.
eb_lock=/tmp/ebonyhollow-process-test

# eb_is_script PID: tells whether the process is a shell script. After the
# holder has ended, its process id can belong to another program.
eb_is_script() {
    tr '\0' ' ' <"/proc/$1/cmdline" 2>/dev/null | grep -q 'bash '
}

eb_acquire_lock() {
    local remaining=900 holder
    until mkdir "$eb_lock" 2>/dev/null; do
        holder=$(cat "$eb_lock/pid" 2>/dev/null)
        if [ -n "$holder" ] && ! eb_is_script "$holder"; then
            rm -rf "$eb_lock"
        fi
        remaining=$((remaining - 1))
        if [ "$remaining" -le 0 ]; then
            echo "another process test still holds $eb_lock" >&2
            return 1
        fi
        sleep 1
    done
    echo $$ >"$eb_lock/pid"
}

# Kills what is still running and removes the work directory.
eb_end() {
    local pid
    for pid in "${eb_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$eb_lock"
    if [ -n "${EB_KEEP:-}" ]; then
        echo "kept $eb_work"
    else
        rm -rf "$eb_work"
    fi
}

# Maps every "host" of a JSON text to a loopback address.
eb_map_hosts() {
    jq 'walk(if type == "object" and (.host | type) == "string"
             then .host |= sub("^10[.]"; "127.") else . end)'
}

# eb_standin [OPTIONS]: starts the stand-ins for the platform and the backend
# servers.
eb_standin() {
    eb_platform_host=127.0.255.1
    eb_control=127.0.255.2:8600
    "$eb_build/test/standin/standin" --document "$eb_work/configuration.json" \
        --site "$eb_site" --platform "$eb_platform_host:8500" \
        --control "$eb_control" "$@" >"$eb_work/standin.log" 2>&1 &
    eb_pids+=($!)
    eb_standin_pid=$!
    eb_wait 100 curl -fsS "http://$eb_control/status" -o /dev/null
}

# eb_settings SITE NUMBER: writes the settings file of an instance.
eb_settings() {
    local site=$1 number=$2
    eb_map_hosts <"$eb_root/examples/$eb_deployment/settings-$site.json" |
        jq --arg n "$number" --arg p "$eb_platform_host" \
            --arg key "$(cat "$eb_root/examples/$eb_deployment/demonstration-peer.key")" \
            --arg digest "$("$eb_build/src/ebonyhollow/ebonyhollow" digest \
                <"$eb_admin_token")" '
            .instance |= sub("-1$"; "-" + $n)
            | (.caller, .admin, .peer) |= (.host |=
                (split(".") | .[3] = (10 + ($n | tonumber) | tostring)
                 | join(".")))
            | .platform.host = $p | .peer_key = ($key | rtrimstr("\n"))
            | .bootstrap_token_digest = $digest
            | .balancer_delay_ms = 500
            | . + '"${EB_SETTINGS:-{\}}" \
        >"$eb_work/$site-$number.json"
}

# eb_daemon SITE NUMBER: starts a daemon, sets eb_pid_SITE_NUMBER and waits
# until the daemon is healthy. eb_program names another program to be started.
eb_daemon() {
    local site=$1 number=$2
    [ -e "$eb_work/$site-$number.json" ] || eb_settings "$site" "$number"
    "${eb_program:-$eb_build/src/ebonyhollowd/ebonyhollowd}" \
        --config "$eb_work/$site-$number.json" \
        >>"$eb_work/$site-$number.log" 2>&1 &
    eb_pids+=($!)
    printf -v "eb_pid_${site}_$number" '%s' "$!"
    eb_wait 200 curl -fsS "http://$(eb_address "$site" "$number" admin)/healthz" \
        -o /dev/null
}

# eb_address SITE NUMBER caller|admin|peer: prints the address of a listener.
eb_address() {
    jq -r ".$3 | .host + \":\" + (.port | tostring)" "$eb_work/$1-$2.json"
}

# eb_wait TENTHS COMMAND...: repeats a command until it succeeds, for at most
# TENTHS tenths of a second.
eb_wait() {
    local remaining=$1
    shift
    until "$@" >/dev/null 2>&1; do
        remaining=$((remaining - 1))
        if [ "$remaining" -le 0 ]; then
            echo "timed out waiting for: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

# eb_ready SITE NUMBER: waits until the daemon is ready for requests.
eb_ready() {
    eb_wait 200 curl -fsS "http://$(eb_address "$1" "$2" admin)/readyz" \
        -o /dev/null
}

# eb_command SITE NUMBER ARGUMENTS...: runs the operators' command with the
# token of an administrator.
eb_command() {
    local site=$1 number=$2
    shift 2
    "$eb_build/src/ebonyhollow/ebonyhollow" \
        --admin "$(eb_address "$site" "$number" admin)" \
        --caller "$(eb_address "$site" "$number" caller)" \
        --token-file "$eb_admin_token" "$@"
}

# eb_token CUSTOMER: writes the customer's token to a file and prints its name.
# The file is renamed into place, since another submit that runs at the same
# time may read it.
eb_token() {
    local file=$eb_work/token-$1
    printf 'demo-%s-%s' "$eb_deployment" "$1" >"$file.$BASHPID"
    mv "$file.$BASHPID" "$file"
    echo "$file"
}

# eb_submit SITE NUMBER CUSTOMER ARGUMENTS...: sends a request as a caller of
# the customer.
eb_submit() {
    local site=$1 number=$2 customer=$3
    shift 3
    "$eb_build/src/ebonyhollow/ebonyhollow" \
        --caller "$(eb_address "$site" "$number" caller)" \
        --token-file "$(eb_token "$customer")" submit "$@"
}

# eb_fault TARGET FAULT [AMOUNT [COUNT]]: sets a fault of the stand-ins; see
# FaultKind in test/standin/standin.h. Without COUNT it lasts until the next.
eb_fault() {
    curl -fsS "http://$eb_control/fault" -o /dev/null -d "$(jq -nc \
        --arg t "$1" --arg f "$2" --argjson a "${3:-0}" \
        --argjson c "${4:--1}" \
        '{target: $t, fault: $f, amount: $a, count: $c}')"
}

# eb_runs KEY: prints how often the services executed a key, according to their
# own record.
eb_runs() {
    curl -fsS "http://$eb_control/runs" | jq --arg k "$1" '.[$k] // 0'
}

# eb_targets SITE-NUMBER...: prints the daemons' caller listeners, separated by
# commas.
eb_targets() {
    local list=() pair
    for pair in "$@"; do
        list+=("$(eb_address "${pair%-*}" "${pair#*-}" caller)")
    done
    local IFS=,
    echo "${list[*]}"
}

# eb_check DESCRIPTION COMMAND...: runs a command, reports whether it succeeded
# and counts failures.
eb_failures=0
eb_check() {
    local description=$1
    shift
    if "$@"; then
        echo "ok: $description"
    else
        echo "NOT OK: $description"
        eb_failures=$((eb_failures + 1))
    fi
}

# eb_start_three [OPTIONS]: starts the stand-ins and one daemon per site of
# eb_sites, and applies the configuration.
eb_start_three() {
    eb_standin "$@" || return 1
    local site
    for site in "${eb_sites[@]}"; do
        eb_daemon "$site" 1 || return 1
    done
    eb_command "${eb_sites[0]}" 1 config apply "$eb_work/configuration.json" \
        >"$eb_work/apply.log" 2>&1 || { cat "$eb_work/apply.log"; return 1; }
    for site in "${eb_sites[@]}"; do
        eb_ready "$site" 1 || return 1
    done
}

# eb_pid SITE NUMBER: prints the process id of a daemon.
eb_pid() {
    local name=eb_pid_$1_$2
    echo "${!name}"
}

# eb_kill SITE NUMBER: kills a daemon and waits until it has ended and its
# sockets are closed.
eb_kill() {
    kill -KILL "$(eb_pid "$1" "$2")"
    wait "$(eb_pid "$1" "$2")" 2>/dev/null
}

# eb_outcome FILE: prints the outcome in the output of `submit --output json`.
eb_outcome() {
    jq -r '.outcome // "none"' "$1" 2>/dev/null || echo none
}

# eb_at_least VALUE BOUND: succeeds if a decimal number is at least the bound.
eb_at_least() {
    awk -v value="$1" -v bound="$2" 'BEGIN { exit !(value >= bound) }'
}

# eb_finish: ends a test; if a check failed, prints the logs and exits with 1.
eb_finish() {
    if [ "$eb_failures" -ne 0 ]; then
        tail -n 5 "$eb_work"/*.log
        exit 1
    fi
}

# eb_platform: starts the stand-in of the users' platform, with one server. Sets
# eb_platform_port, which daemons use as a base of theirs, and eb_server_port.
eb_platform() {
    eb_host=127.0.0.1
    eb_platform_port=$((15000 + $$ * 61 % 15000))
    eb_server_port=$((eb_platform_port + 1))
    "$eb_build/test/clients/platform_standin" "$eb_platform_port" \
        "$eb_server_port" >"$eb_work/standin.log" 2>&1 &
    eb_pids+=($!)
}

# eb_platform_address NUMBER front|ready|control: prints the address of a
# listener of daemon 1 or 2 on the users' platform.
eb_platform_address() {
    local offset
    case $2 in
    front) offset=0 ;;
    ready) offset=1 ;;
    control) offset=2 ;;
    esac
    echo "$eb_host:$((eb_platform_port + 3 * $1 + offset))"
}

# eb_platform_daemon NUMBER OPTIONS...: starts daemon 1 or 2 on the users'
# platform. Both have the same seed, daemon 1.
eb_platform_daemon() {
    local number=$1
    shift
    cat >"$eb_work/node-$number.yaml" <<YAML
node: "front-$number"
zone: "z0"
region: "r"
listen:
  front: "$(eb_platform_address "$number" front)"
  ready: "$(eb_platform_address "$number" ready)"
  control: "$(eb_platform_address "$number" control)"
seeds:
  - "$(eb_platform_address 1 control)"
limits: {cpu_share: 1.0, cores: 1, memory_mb: 64, max_fds: 300, link_mbps: 1000}
bounds: {grace_s: 8}
platform:
  address: "$eb_host:$eb_platform_port"
YAML
    EBONYHOLLOW_NODE_FILE="$eb_work/node-$number.yaml" \
        "$eb_build/src/ebonyhollowd/ebonyhollowd" --platform "$@" \
        >"$eb_work/front-$number.log" 2>&1 &
    eb_pids+=($!)
}
