#include "ebonyhollow/pool_explain.h"

#include <assert.h>
#include <string.h>

#include "pool_state.h"

const char *const EbObjection_names[EB_OBJECTION_COUNT] = {
    [EB_OBJECTION_LEAVING] = "leaving",
    [EB_OBJECTION_EVACUATED] = "evacuated",
    [EB_OBJECTION_EJECTED] = "ejected",
    [EB_OBJECTION_NO_FREE_SLOT] = "no-free-slot",
    [EB_OBJECTION_ASKED_TO_WAIT] = "asked-to-wait",
    [EB_OBJECTION_TURN_OF_OTHERS] = "turn-of-others",
    [EB_OBJECTION_NOT_ELIGIBLE] = "not-eligible",
};

EbPool *
EbPool_NewSnapshot(const EbPool *pool, EbRandom *random)
{
    EbPool *snapshot = g_memdup2(pool, sizeof(*pool));
    snapshot->random = random;
    snapshot->events = NULL;
    snapshot->pace = pool->pace != NULL ? EbPace_Copy(pool->pace) : NULL;
    return snapshot;
}

void
EbPool_FreeSnapshot(EbPool *snapshot)
{
    if (snapshot == NULL) {
        return;
    }
    EbPace_Free(snapshot->pace);
    g_free(snapshot);
}

const EbConfigBackendServer *
EbPool_Choose(EbPool *snapshot, const EbPoolCriteria *criteria, int64_t now_us)
{
    const EbPoolServer *server =
        snapshot->policy->choose(snapshot, criteria, now_us);
    return server != NULL ? server->config : NULL;
}

const char *
EbPool_Name(const EbPool *pool)
{
    return pool->config->name;
}

void
EbPool_DescribeCandidate(const EbPool *snapshot, size_t index,
                         const EbPoolCriteria *criteria, int64_t now_us,
                         EbPoolCandidate *candidate)
{
    assert(index < snapshot->member_count);
    const EbPoolServer *server = snapshot->members[index];
    *candidate = (EbPoolCandidate){
        .objections =
            EbPool_FindObjections(snapshot, server, criteria, now_us),
        .slots = EbPool_Slots(snapshot, server, now_us),
        .in_own_domain = strcmp(server->config->failure_domain,
                                snapshot->failure_domain) == 0,
        .admission_us = snapshot->directives != NULL
                            ? EbDirectives_NextAdmission(snapshot->directives,
                                                         server->id, now_us)
                            : now_us,
        .report_age_us =
            server->has_report ? now_us - server->reported_us : -1,
    };
    EbPool_View(snapshot, index, &candidate->view, now_us);
    EbPool_Weigh(snapshot, server, now_us, candidate);
}
