# Finds the pool that limits a plan's mix of requests. The requests per second
# that a pool can serve are its slots divided by the service time of the
# stand-ins and by the number of calls per request.
# Input: the configuration. Variables: $plan, $scale.
# A generate call takes 20 ms to its first token and 4 ms for each of 12.
def service_ms: {encode: 3, retrieve: 5, rerank: 6, generate: 68, call: 8}[.];
.base as $base
| ($plan[0].requests | map(.weight) | add) as $sum
| [$base.pools | to_entries[] | .key as $pool
   | ([$base.backend_servers[] | select(.pool == $pool) | .capacity] | add)
     as $slots
   | ([$plan[0].requests[] | .weight
       * ([$base.pipelines[.pipeline].stages[] | select(.pool == $pool)]
          | length)] | add / $sum) as $calls
   | select($calls > 0)
   | {pool: $pool, per_s: ($slots * 1000
       / ((.value.kind | service_ms) * $scale) / $calls)}]
| min_by(.per_s)
