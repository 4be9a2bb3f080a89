/* Requests of callers that were refused before and ask again. */
#include <glib.h>

#include "dispatcher_private.h"

/* Callers that ask again have less time left than usual. The usual time
 * follows those that leave much faster than those that leave little, so that
 * many repeated requests don't pull it down. */
#define RISE 0.125
#define FALL 0.004
/* First attempts leave at least this part of the usual time: callers take
 * off up to a sixth of it before they send. */
#define FIRST_SHARE 0.75

static double *
find_usual_time(const EbRequest *request)
{
    return g_hash_table_lookup(request->pools[0]->caller_times,
                               request->pipeline->name);
}

static int64_t
time_left(const EbRequest *request)
{
    return request->deadline_us - request->summary->received_us;
}

void
EbRequest_RecordCallerTime(const EbRequest *request)
{
    double left_us = (double)time_left(request);
    double *usual_us = find_usual_time(request);
    if (usual_us == NULL) {
        usual_us = g_new(double, 1);
        *usual_us = left_us;
        g_hash_table_insert(request->pools[0]->caller_times,
                            g_strdup(request->pipeline->name), usual_us);
        return;
    }
    *usual_us += (left_us - *usual_us) * (left_us > *usual_us ? RISE : FALL);
}

int64_t
EbRequest_AskedAt(const EbRequest *request)
{
    const double *usual_us = find_usual_time(request);
    int64_t received_us = request->summary->received_us;
    int64_t left_us = time_left(request);
    return usual_us == NULL || (double)left_us >= FIRST_SHARE * *usual_us
               ? received_us
               : received_us + left_us - (int64_t)*usual_us;
}
