# One run's figures. Input: the load program's report. Variables: $name,
# $policy, $capacity, $rate, $window, $records, $cpu.
def share(a; b): if b > 0 then (a / b * 10000 | round / 100) else null end;
($records[0] | length) as $calls
| ([$records[0][] | "\(.request_id) \(.stage)"] | unique | length) as $fresh
| {
    scenario: $name, policy: $policy, capacity_per_s: $capacity,
    rate_per_s: $rate, sent, in_time,
    attainment: share(.in_time; .sent),
    customers: (.kinds | group_by(.customer) | map({(.[0].customer):
        share(map(.in_time) | add; map(.sent) | add)}) | add),
    in_time_per_s_window: (.in_time / $window),
    in_time_per_s_whole: (.in_time / .seconds),
    of_capacity: share(.in_time / .seconds; $capacity),
    fresh_calls: $fresh, extra_calls: ($calls - $fresh),
    extra_share: share($calls - $fresh; $fresh),
    p50_ms: (.kinds | map({(.name): (.p50_us / 1000)}) | add),
    p95_ms: (.kinds | map({(.name): (.p95_us / 1000)}) | add),
    first_token_p95_ms: (.kinds | map(select(.first_token_p95_us > 0)
        | {(.name): (.first_token_p95_us / 1000)}) | add),
    outcomes: {done: (.kinds | map(.done) | add),
        not_run: (.kinds | map(.not_run) | add),
        failed: (.kinds | map(.failed) | add),
        unknown: (.kinds | map(.unknown) | add),
        cut: (.kinds | map(.cut) | add)},
    reasons, violations, cpu_s: $cpu
  }
