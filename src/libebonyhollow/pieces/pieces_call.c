/* Calls to the servers that make pieces, and timers. */
#include <assert.h>

#include "pieces_state.h"

/* An item goes to this many servers before its job fails. */
#define MAX_TRIES 4
/* A call that takes longer than this many times what is expected is given up:
 * its server is silent or far too slow. */
#define TIMEOUT_FACTOR 4
#define TIMEOUT_MIN_US 1500000
/* A server that failed gets no call for so long, doubled each time. */
#define BLOCK_FIRST_US 100000
#define BLOCK_MAX_US 3000000
#define BLOCK_MAX_DOUBLINGS 5
/* A server that has no place or no memory free is asked again after this. */
#define BLOCK_FULL_US 50000
#define PACE_GAIN 0.3 /* remembers about three calls */

void
EbPieceCall_Free(gpointer pointer)
{
    EbPieceCall *call = pointer;
    g_ptr_array_unref(call->pieces);
    g_free(call);
}

static const char *
keep(GPtrArray *strings, const char *text)
{
    char *copy = g_strdup(text);
    g_ptr_array_add(strings, copy);
    return copy;
}

static EbPieceItem
describe_item(const EbPiece *piece, GPtrArray *strings, int64_t now_us)
{
    const EbPrepare *prepare = &piece->job->prepare;
    EbPieceItem item = {
        .request_id = keep(strings, prepare->request_id),
        .stage = prepare->stage,
        .piece = piece->piece,
        .left_us = prepare->deadline_us - now_us,
    };
    if (prepare->key != NULL) {
        item.key = keep(strings, prepare->key);
    }
    if (prepare->inputs != NULL) {
        item.input_count = prepare->inputs->len;
        const char **inputs = g_new0(const char *, item.input_count + 1);
        g_ptr_array_add(strings, inputs);
        for (uint32_t i = 0; i < item.input_count; i++) {
            inputs[i] = keep(strings, g_ptr_array_index(prepare->inputs, i));
        }
        item.inputs = inputs;
    }
    return item;
}

static void
send_call(EbPieces *pieces, const EbPieceCall *call, int64_t now_us)
{
    const EbPieceServer *server = call->server;
    EbAction action = {
        .kind = EB_ACTION_SEND_PIECES,
        .as.pieces = {
            .attempt_id = call->id,
            .server_id = g_strdup(server->id),
            .host = g_strdup(server->host),
            .port = server->port,
            .items = g_array_new(FALSE, FALSE, sizeof(EbPieceItem)),
            .strings = g_ptr_array_new_with_free_func(g_free),
        }};
    for (guint i = 0; i < call->pieces->len; i++) {
        EbPieceItem item = describe_item(g_ptr_array_index(call->pieces, i),
                                         action.as.pieces.strings, now_us);
        g_array_append_val(action.as.pieces.items, item);
    }
    EbActionQueue_Push(pieces->options.actions, &action);
}

/* Starts a call. Returns false when no item should be made there now. */
static bool
start_call(EbPieces *pieces, EbPieceService *service, EbPieceServer *server,
           int64_t now_us)
{
    EbPieceCall *call = g_new0(EbPieceCall, 1);
    call->id = ++pieces->next_attempt | EB_PIECES_ATTEMPT_BIT;
    call->service = service;
    call->server = server;
    call->pieces = g_ptr_array_new();
    EbPieceCall_Gather(call, now_us);
    if (call->pieces->len == 0) {
        EbPieceCall_Free(call);
        return false;
    }
    call->started_us = now_us;
    call->expected_us =
        EbPieceService_ExpectedTime(service, call->pieces->len);
    call->timeout_us =
        now_us + MAX(TIMEOUT_MIN_US, TIMEOUT_FACTOR * call->expected_us);
    server->running++;
    g_hash_table_insert(pieces->calls, &call->id, call);
    send_call(pieces, call, now_us);
    return true;
}

/* Drops jobs that nobody waits for any more. */
static void
expire(EbPieces *pieces, EbPieceService *service, int64_t now_us)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(service->queue);
    while (!g_sequence_iter_is_end(iter)) {
        GSequenceIter *next = g_sequence_iter_next(iter);
        EbPieceJob *job = g_sequence_get(iter);
        if (job->prepare.deadline_us <=
            now_us + EbPieceService_ExpectedTime(service, 1)) {
            EbPieceJob_Report(pieces, job, EB_PREPARED_LATE, now_us);
        }
        iter = next;
    }
}

void
EbPieceService_Pump(EbPieces *pieces, EbPieceService *service, int64_t now_us)
{
    expire(pieces, service, now_us);
    while (service->waiting_count > 0) {
        EbPieceServer *server = EbPieceService_ChooseServer(service, now_us);
        if (server == NULL) {
            return;
        }
        if (!start_call(pieces, service, server, now_us)) {
            server->passed_us = now_us;
        }
    }
}

/* Takes a call off its server. */
static EbPieceCall *
take_call(EbPieces *pieces, uint64_t attempt_id)
{
    EbPieceCall *call = g_hash_table_lookup(pieces->calls, &attempt_id);
    if (call != NULL) {
        g_hash_table_steal(pieces->calls, &attempt_id);
        call->server->running--;
    }
    return call;
}

static void
block(EbPieceServer *server, int64_t duration_us, int64_t now_us)
{
    server->blocked_us = MAX(server->blocked_us, now_us + duration_us);
}

static void
fail_server(EbPieceServer *server, int64_t now_us)
{
    uint32_t doublings = MIN(server->failures, BLOCK_MAX_DOUBLINGS);
    server->failures++;
    block(server, MIN((int64_t)BLOCK_FIRST_US << doublings, BLOCK_MAX_US),
          now_us);
}

/* An item was not done: it waits again, or its job ends. */
static void
retry_piece(EbPieces *pieces, EbPiece *piece, EbPieceServer *server,
            EbPieceResultKind kind, int64_t now_us)
{
    EbPieceJob *job = piece->job;
    EbPieceJob_FreeRoom(job, piece, server);
    if (job->over) {
        return;
    }
    if (kind == EB_PIECE_GONE) {
        EbPieceJob_Report(pieces, job, EB_PREPARED_INPUT_GONE, now_us);
    }
    else if (kind == EB_PIECE_LATE) {
        EbPieceJob_Report(pieces, job, EB_PREPARED_LATE, now_us);
    }
    else if (kind == EB_PIECE_ERROR && ++piece->tries >= MAX_TRIES) {
        EbPieceJob_Report(pieces, job, EB_PREPARED_FAILED, now_us);
    }
    else {
        EbPieceJob_WaitAgain(job, piece);
    }
}

static void
finish_piece(EbPieces *pieces, EbPiece *piece, const EbPieceServer *server,
             EbPieceResult *result, int64_t now_us)
{
    EbPieceJob *job = piece->job;
    piece->handle = result->handle;
    piece->server_id = g_strdup(server->id);
    result->handle = NULL;
    job->done_count++;
    if (job->ended) {
        EbPieceJob_ReleaseResult(pieces, job, piece, now_us);
    }
    else if (!job->over && job->done_count == job->prepare.piece_count) {
        EbPieceJob_Report(pieces, job, EB_PREPARED_OK, now_us);
    }
}

static void
leave_call(EbPieces *pieces, EbPieceJob *job)
{
    if (--job->running_count == 0 && job->ended) {
        EbPieceJob_Forget(pieces, job);
    }
}

/* Frees a call, and jobs that only waited for its end, and starts the next. */
static void
end_call(EbPieces *pieces, EbPieceCall *call, int64_t now_us)
{
    for (guint i = 0; i < call->pieces->len; i++) {
        const EbPiece *piece = g_ptr_array_index(call->pieces, i);
        leave_call(pieces, piece->job);
    }
    EbPieceService *service = call->service;
    EbPieceCall_Free(call);
    EbPieceService_Pump(pieces, service, now_us);
}

void
EbPieces_Answered(EbPieces *pieces, uint64_t attempt_id,
                  EbPieceResult *results, size_t count, int64_t now_us)
{
    EbPieceCall *call = take_call(pieces, attempt_id);
    if (call == NULL) {
        return;
    }
    assert(count == call->pieces->len);
    EbPieceServer *server = call->server;
    double pace =
        (double)(now_us - call->started_us) / (double)call->expected_us;
    server->pace += PACE_GAIN * (pace - server->pace);
    server->failures = 0;
    for (size_t i = 0; i < count; i++) {
        EbPiece *piece = g_ptr_array_index(call->pieces, i);
        if (results[i].kind == EB_PIECE_DONE) {
            finish_piece(pieces, piece, server, &results[i], now_us);
        }
        else {
            retry_piece(pieces, piece, server, results[i].kind, now_us);
        }
        if (results[i].kind == EB_PIECE_NO_ROOM) {
            block(server, BLOCK_FULL_US, now_us);
        }
    }
    end_call(pieces, call, now_us);
}

void
EbPieces_Failed(EbPieces *pieces, uint64_t attempt_id, EbCallResult result,
                const char *cause, int64_t now_us)
{
    EbPieceCall *call = take_call(pieces, attempt_id);
    if (call == NULL) {
        return;
    }
    EB_EMIT(pieces->options.events, EB_EVENT_PREPARATION_RETRIED,
            EB_STRING_FIELD("backend_server", call->server->id),
            EB_STRING_FIELD("service", call->service->name),
            EB_INTEGER_FIELD("pieces", call->pieces->len),
            EB_STRING_FIELD("cause", cause));
    bool full = result == EB_CALL_OVERLOADED;
    if (full) {
        block(call->server, BLOCK_FULL_US, now_us);
    }
    else {
        fail_server(call->server, now_us);
    }
    for (guint i = 0; i < call->pieces->len; i++) {
        retry_piece(pieces, g_ptr_array_index(call->pieces, i), call->server,
                    full ? EB_PIECE_NO_ROOM : EB_PIECE_ERROR, now_us);
    }
    end_call(pieces, call, now_us);
}

size_t
EbPieces_ItemCount(const EbPieces *pieces, uint64_t attempt_id)
{
    const EbPieceCall *call = g_hash_table_lookup(pieces->calls, &attempt_id);
    return call != NULL ? call->pieces->len : 0;
}

void
EbPieces_TimeOutCalls(EbPieces *pieces, int64_t now_us)
{
    GList *calls = g_hash_table_get_values(pieces->calls);
    for (GList *item = calls; item != NULL; item = item->next) {
        EbPieceCall *call = item->data;
        if (call->timeout_us <= now_us) {
            EbAction action = {.kind = EB_ACTION_CANCEL_ATTEMPT};
            action.as.cancel_attempt_id = call->id;
            EbActionQueue_Push(pieces->options.actions, &action);
            EbPieces_Failed(pieces, call->id, EB_CALL_SILENT,
                            "no answer in time", now_us);
        }
    }
    g_list_free(calls);
}
