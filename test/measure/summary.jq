# Figures of one run. Input: the report of the load generator. Variables: $name,
# $policy, $capacity, $rate, $window, $records, $cpu, $configuration, $plan,
# $scale.
# A generate call takes 20 ms to its first token and 4 ms for each of 12.
def service_ms: {encode: 3, retrieve: 5, rerank: 6, generate: 68, call: 8}[.];
# Sum of the stand-ins' service times over all stages of a kind of request,
# without the 2 ms per kilobyte of prompt. The rest of the mean time is an upper
# bound for what the daemons add, since it includes the delay of the stand-ins'
# timers.
def served_ms: . as $name
    | ($plan[0].requests[] | select(.name == $name) | .pipeline) as $pipeline
    | [$configuration[0].base.pipelines[$pipeline].stages[].kind | service_ms]
    | add * $scale;
def share(a; b): if b > 0 then (a / b * 10000 | round / 100) else null end;
($records[0] | length) as $calls
| ([$records[0][] | "\(.request_id) \(.stage)"] | unique | length) as $fresh
| {
    scenario: $name, policy: $policy, capacity_per_s: $capacity,
    rate_per_s: $rate, sent, in_time,
    attainment: share(.in_time; .sent),
    customers: (.kinds | group_by(.customer) | map({(.[0].customer):
        share(map(.in_time) | add; map(.sent) | add)}) | add),
    in_time_per_s: ((.kinds | map(.in_window) | add) / $window),
    of_capacity: share((.kinds | map(.in_window) | add) / $window; $capacity),
    fresh_calls: $fresh, extra_calls: ($calls - $fresh),
    extra_share: share($calls - $fresh; $fresh),
    p50_ms: (.kinds | map({(.name): (.p50_us / 1000)}) | add),
    p95_ms: (.kinds | map({(.name): (.p95_us / 1000)}) | add),
    mean_beyond_service_ms: (.kinds | map({(.name):
        (.mean_us / 1000 - (.name | served_ms) | . * 100 | round / 100)})
        | add),
    first_token_p95_ms: (.kinds | map(select(.first_token_p95_us > 0)
        | {(.name): (.first_token_p95_us / 1000)}) | add),
    outcomes: {done: (.kinds | map(.done) | add),
        not_run: (.kinds | map(.not_run) | add),
        failed: (.kinds | map(.failed) | add),
        unknown: (.kinds | map(.unknown) | add),
        cut: (.kinds | map(.cut) | add)},
    reasons, violations, cpu_s: $cpu
  }
