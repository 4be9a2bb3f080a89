#include "ebonyhollow/evacuations.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

typedef struct {
    char *failure_domain;
    EbEvacuationState state; /* never EB_EVACUATION_NONE */
    EbStorePosition position;
    int64_t learned_us;
    uint32_t calls;
} Domain;

struct EbEvacuations {
    EbEvacuationsOptions options;
    GPtrArray *domains; /* of Domain, sorted by name; few */
    bool changed;       /* since the last EbEvacuations_TakeChange */
};

const char *const EbEvacuationState_names[EB_EVACUATION_STATE_COUNT] = {
    [EB_EVACUATION_NONE] = "none",
    [EB_EVACUATION_EVACUATING] = "evacuating",
    [EB_EVACUATION_EVACUATED] = "evacuated",
    [EB_EVACUATION_RETURNING] = "returning",
};

static void
free_domain(gpointer pointer)
{
    Domain *domain = pointer;
    g_free(domain->failure_domain);
    g_free(domain);
}

EbEvacuations *
EbEvacuations_New(const EbEvacuationsOptions *options)
{
    EbEvacuations *evacuations = g_new0(EbEvacuations, 1);
    evacuations->options = *options;
    evacuations->domains = g_ptr_array_new_with_free_func(free_domain);
    return evacuations;
}

void
EbEvacuations_Free(EbEvacuations *evacuations)
{
    if (evacuations != NULL) {
        g_ptr_array_unref(evacuations->domains);
        g_free(evacuations);
    }
}

static Domain *
find_domain(const EbEvacuations *evacuations, const char *failure_domain)
{
    for (guint i = 0; i < evacuations->domains->len; i++) {
        Domain *domain = g_ptr_array_index(evacuations->domains, i);
        if (strcmp(domain->failure_domain, failure_domain) == 0) {
            return domain;
        }
    }
    return NULL;
}

static bool
is_closed(EbEvacuationState state)
{
    return state == EB_EVACUATION_EVACUATING ||
           state == EB_EVACUATION_EVACUATED;
}

static uint32_t
count_calls(const EbEvacuations *evacuations, const Domain *domain)
{
    const EbEvacuationsOptions *options = &evacuations->options;
    return options->count_calls != NULL
               ? options->count_calls(options->context, domain->failure_domain)
               : 0;
}

static void
set_gauges(const EbEvacuations *evacuations)
{
    EbMetrics *metrics = evacuations->options.metrics;
    uint64_t closed = 0;
    uint64_t calls = 0;
    for (guint i = 0; i < evacuations->domains->len; i++) {
        const Domain *domain = g_ptr_array_index(evacuations->domains, i);
        closed += is_closed(domain->state);
        calls += is_closed(domain->state) ? domain->calls : 0;
    }
    if (metrics != NULL) {
        EbMetrics_Set(metrics, EB_METRIC_EVACUATED, closed);
        EbMetrics_Set(metrics, EB_METRIC_EVACUATED_CALLS, calls);
    }
}

static void
set_state(EbEvacuations *evacuations, Domain *domain, EbEvacuationState state,
          int64_t now_us)
{
    EbEvacuationState before = domain->state;
    if (state == before) {
        return;
    }
    domain->state = state;
    evacuations->changed =
        evacuations->changed || is_closed(state) != is_closed(before);
    EB_EMIT(evacuations->options.events, EB_EVENT_EVACUATION_STATE,
            EB_STRING_FIELD("failure_domain", domain->failure_domain),
            EB_STRING_FIELD("state", EbEvacuationState_names[state]),
            EB_STRING_FIELD("before", EbEvacuationState_names[before]),
            EB_INTEGER_FIELD("era", domain->position.era),
            EB_INTEGER_FIELD("revision", domain->position.revision),
            EB_INTEGER_FIELD("age_us", now_us - domain->learned_us),
            EB_INTEGER_FIELD("calls", domain->calls));
    if (evacuations->options.metrics != NULL) {
        EbMetrics_Add(evacuations->options.metrics, EB_METRIC_EVACUATIONS, 1,
                      domain->failure_domain, EbEvacuationState_names[state],
                      NULL);
    }
}

/* Adjusts a closed domain to the calls that run there. A call may begin after
 * the last one was counted, since calls are counted from the choice of their
 * server. */
static void
update_closed(EbEvacuations *evacuations, Domain *domain, int64_t now_us)
{
    domain->calls = count_calls(evacuations, domain);
    set_state(evacuations, domain,
              domain->calls > 0 ? EB_EVACUATION_EVACUATING
                                : EB_EVACUATION_EVACUATED,
              now_us);
}

static gint
compare_domains(gconstpointer left, gconstpointer right)
{
    const Domain *a = *(Domain *const *)left;
    const Domain *b = *(Domain *const *)right;
    return strcmp(a->failure_domain, b->failure_domain);
}

static Domain *
add_domain(EbEvacuations *evacuations, const char *failure_domain)
{
    Domain *domain = g_new0(Domain, 1);
    domain->failure_domain = g_strdup(failure_domain);
    g_ptr_array_add(evacuations->domains, domain);
    g_ptr_array_sort(evacuations->domains, compare_domains);
    return domain;
}

void
EbEvacuations_Set(EbEvacuations *evacuations, const char *failure_domain,
                  bool evacuate, const EbStorePosition *position,
                  int64_t now_us)
{
    Domain *domain = find_domain(evacuations, failure_domain);
    if (domain == NULL && !evacuate) {
        return;
    }
    if (domain == NULL) {
        domain = add_domain(evacuations, failure_domain);
    }
    bool closed = is_closed(domain->state);
    domain->position = *position;
    if (closed != evacuate) {
        domain->learned_us = now_us;
    }
    if (evacuate && !closed) {
        set_state(evacuations, domain, EB_EVACUATION_EVACUATING, now_us);
        update_closed(evacuations, domain, now_us);
    }
    else if (!evacuate && closed) {
        set_state(evacuations, domain, EB_EVACUATION_RETURNING, now_us);
        if (evacuations->options.opened != NULL) {
            evacuations->options.opened(evacuations->options.context,
                                        domain->failure_domain, now_us);
        }
    }
    set_gauges(evacuations);
}

bool
EbEvacuations_IsClosed(const EbEvacuations *evacuations,
                       const char *failure_domain)
{
    if (evacuations == NULL || evacuations->domains->len == 0) {
        return false;
    }
    return is_closed(EbEvacuations_State(evacuations, failure_domain));
}

EbEvacuationState
EbEvacuations_State(const EbEvacuations *evacuations,
                    const char *failure_domain)
{
    const Domain *domain = find_domain(evacuations, failure_domain);
    return domain != NULL ? domain->state : EB_EVACUATION_NONE;
}

void
EbEvacuations_Tick(EbEvacuations *evacuations, int64_t now_us)
{
    for (guint i = evacuations->domains->len; i > 0; i--) {
        Domain *domain = g_ptr_array_index(evacuations->domains, i - 1);
        if (is_closed(domain->state)) {
            update_closed(evacuations, domain, now_us);
        }
        else if (now_us - domain->learned_us >= EB_EVACUATION_RETURN_US) {
            set_state(evacuations, domain, EB_EVACUATION_NONE, now_us);
            g_ptr_array_remove_index(evacuations->domains, i - 1);
        }
    }
    set_gauges(evacuations);
}

bool
EbEvacuations_TakeChange(EbEvacuations *evacuations)
{
    bool changed = evacuations->changed;
    evacuations->changed = false;
    return changed;
}

size_t
EbEvacuations_Count(const EbEvacuations *evacuations)
{
    return evacuations->domains->len;
}

void
EbEvacuations_View(const EbEvacuations *evacuations, size_t index,
                   int64_t now_us, EbEvacuationView *view)
{
    assert(index < evacuations->domains->len);
    const Domain *domain = g_ptr_array_index(evacuations->domains, index);
    *view = (EbEvacuationView){
        .failure_domain = domain->failure_domain,
        .state = domain->state,
        .position = domain->position,
        .age_us = now_us - domain->learned_us,
        .calls = is_closed(domain->state) ? domain->calls : 0};
}
