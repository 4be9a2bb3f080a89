#include "random_config.h"

#include <stdbool.h>
#include <stdio.h>

#include <glib.h>

#include "ebonyhollow/config.h"

#define MAX_SERVICES 5
#define MAX_ROUTES 8
#define MAX_TENANTS 6
#define TEXT_BYTES 32

const char *const RandomConfig_hosts[3] = {"a.example", "B.example", "x"};
const char *const RandomConfig_prefixes[4] = {"/", "/a/", "/a/b/", "/c/"};

static const char *const names[] = {
    "anonymous", "anonymous-2", "",  "a",     "B",          "7-inch",
    "zebra",     "other",       "*", "a b\n", "s\xc3\xb6r", "\"quoted\"",
};

static bool
one_in(EbRandom *random, uint64_t count)
{
    return EbRandom_Below(random, count) == 0;
}

static const char *
choose(EbRandom *random, const char *const *texts, size_t count)
{
    return texts[EbRandom_Below(random, count)];
}

static json_t *
make_name(EbRandom *random)
{
    return json_string(choose(random, names, G_N_ELEMENTS(names)));
}

/* Most services have one of a few names, so that references find them. */
static json_t *
make_service_name(EbRandom *random)
{
    static const char *const usual[] = {"zebra", "a", "B"};
    return one_in(random, 10)
               ? make_name(random)
               : json_string(choose(random, usual, G_N_ELEMENTS(usual)));
}

static json_t *
make_number(EbRandom *random)
{
    static const json_int_t numbers[] = {
        0, 1, 2, 16, 200, 800, 6000, -1, INT32_MAX, INT64_MAX, INT64_MIN,
    };
    return json_integer(
        numbers[EbRandom_Below(random, G_N_ELEMENTS(numbers))]);
}

/* Returns a value of a random type. */
static json_t *
make_any(EbRandom *random)
{
    switch (EbRandom_Below(random, 7)) {
    case 0:
        return json_null();
    case 1:
        return json_true();
    case 2:
        return json_real(1e300);
    case 3:
        return json_array();
    case 4:
        return json_object();
    case 5:
        return make_number(random);
    default:
        return make_name(random);
    }
}

/* Replaces or removes a random member. */
static void
spoil(json_t *object, EbRandom *random)
{
    size_t chosen = EbRandom_Below(random, json_object_size(object));
    void *iterator = json_object_iter(object);
    while (chosen-- > 0) {
        iterator = json_object_iter_next(object, iterator);
    }
    char *key = g_strdup(json_object_iter_key(iterator));
    if (one_in(random, 2)) {
        json_object_del(object, key);
    }
    else {
        json_object_set_new(object, key, make_any(random));
    }
    g_free(key);
}

static json_t *
make_service(EbRandom *random)
{
    json_t *service =
        json_pack("{s:o, s:o}", "name", make_service_name(random), "max_conns",
                  make_number(random));
    if (one_in(random, 3)) {
        json_object_set_new(service, "engine", json_pack("{s:i}", "slots", 9));
    }
    if (!one_in(random, 8)) {
        json_object_set_new(
            service, "pieces",
            json_pack("{s:i, s:i, s:i, s:f, s:f, s:f}", "slots", 1, "batch",
                      1 + (int)EbRandom_Below(random, 90), "call_ms",
                      (int)EbRandom_Below(random, 300), "item_ms", 1.5,
                      "headroom_mb", 1.5, "handle_s", 4.0));
    }
    return service;
}

/* Returns stages whose dependencies follow a random order of them, so that
 * there is no cycle, or now and then any dependencies. */
static json_t *
make_stages(EbRandom *random)
{
    static const size_t sizes[] = {
        0, 0, 0, 1, 2, 3, 9, EB_CONFIG_MAX_PREPARATIONS, MAX_LISTED_STAGES};
    size_t count = sizes[EbRandom_Below(random, G_N_ELEMENTS(sizes))];
    uint64_t ranks[MAX_LISTED_STAGES];
    for (size_t i = 0; i < count; i++) {
        ranks[i] = EbRandom_Next(random);
    }
    bool any_order = one_in(random, 8);
    json_t *stages = json_array();
    for (size_t i = 0; i < count; i++) {
        json_t *after = json_array();
        for (int k = 0; k < 2; k++) {
            size_t other = EbRandom_Below(random, count);
            if (any_order || ranks[other] < ranks[i]) {
                json_array_append_new(after, json_integer((json_int_t)other));
            }
        }
        json_array_append_new(stages,
                              json_pack("{s:o, s:o, s:i}", "service",
                                        make_service_name(random), "after",
                                        after, "byte_count", 1000));
    }
    return stages;
}

static json_t *
make_split(EbRandom *random)
{
    json_t *split = json_array();
    for (uint64_t i = EbRandom_Below(random, 3); i > 0; i--) {
        json_array_append_new(split,
                              json_pack("{s:o, s:i}", "service",
                                        make_service_name(random), "weight",
                                        (int)EbRandom_Below(random, 3)));
    }
    return split;
}

static json_t *
make_route(EbRandom *random)
{
    static const char *const kinds[] = {"idempotent", "non_idempotent",
                                        "streaming"};
    json_t *route = json_pack(
        "{s:o, s:s, s:s, s:s, s:i, s:i, s:o, s:i, s:b, s:b, s:o}", "name",
        make_name(random), "host",
        choose(random, RandomConfig_hosts, G_N_ELEMENTS(RandomConfig_hosts)),
        "path_prefix",
        choose(random, RandomConfig_prefixes,
               G_N_ELEMENTS(RandomConfig_prefixes)),
        "route_kind", choose(random, kinds, G_N_ELEMENTS(kinds)), "timeout_ms",
        1 + (int)EbRandom_Below(random, 9000), "goal_ms", 300, "service",
        make_service_name(random), "max_attempts",
        1 + (int)EbRandom_Below(random, 3), "anonymous",
        (int)one_in(random, 2), "resumable", (int)one_in(random, 2), "stages",
        make_stages(random));
    if (one_in(random, 3)) {
        json_object_set_new(route, "split", make_split(random));
    }
    return route;
}

static json_t *
make_tenant(EbRandom *random)
{
    json_t *keys = json_array();
    for (uint64_t i = EbRandom_Below(random, 4); i > 0; i--) {
        char key[TEXT_BYTES];
        snprintf(key, sizeof(key), "key-%u",
                 (unsigned)EbRandom_Below(random, RANDOM_KEYS));
        json_array_append_new(keys, json_string(key));
    }
    return json_pack("{s:o, s:o, s:o}", "name", make_name(random), "api_keys",
                     keys, "priority", make_number(random));
}

static json_t *
make_list(EbRandom *random, uint64_t max, json_t *(*make)(EbRandom *))
{
    json_t *list = json_array();
    for (uint64_t i = EbRandom_Below(random, max + 1); i > 0; i--) {
        json_t *entry = make(random);
        if (one_in(random, 6)) {
            spoil(entry, random);
        }
        if (one_in(random, 40)) {
            json_decref(entry);
            entry = make_any(random);
        }
        json_array_append_new(list, entry);
    }
    return list;
}

json_t *
RandomConfig_New(EbRandom *random, uint64_t version)
{
    json_t *config =
        json_pack("{s:I, s:o, s:o, s:o}", "version", (json_int_t)version,
                  "services", make_list(random, MAX_SERVICES, make_service),
                  "routes", make_list(random, MAX_ROUTES, make_route),
                  "tenants", make_list(random, MAX_TENANTS, make_tenant));
    if (one_in(random, 10)) {
        json_object_del(config, "tenants");
    }
    return config;
}
