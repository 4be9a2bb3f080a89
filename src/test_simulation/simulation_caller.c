/* Callers, and the checks of each answer. */
#include <string.h>

#include "simulation_private.h"

static const char *
request_name(const SimulationRequest *request)
{
    return request->key != NULL ? request->key : request->request_id;
}

SimulationRequest *
Simulation_Submit(Simulation *simulation, const SimulationSubmit *submit)
{
    SimulationDaemon *daemon = &simulation->daemons[submit->daemon];
    SimulationRequest *request = g_new0(SimulationRequest, 1);
    request->request_id =
        g_strdup_printf("r%u", simulation->requests->len + 1);
    request->key = g_strdup(submit->key);
    request->input = g_strdup(submit->input);
    request->pipeline = g_strdup(submit->pipeline);
    request->daemon = submit->daemon;
    request->incarnation = daemon->incarnation;
    request->stream = submit->stream;
    request->submitted_us = simulation->now_us;
    g_ptr_array_add(simulation->requests, request);
    Simulation_Log(simulation, "d%u: receives %s key %s", submit->daemon,
                   request->request_id,
                   submit->key != NULL ? submit->key : "-");
    char *body = g_strdup_printf("{\"input\": \"%s\"}", submit->input);
    request->handle = EbDispatcher_Submit(
        daemon->dispatcher,
        &(EbSubmission){
            .request_id = request->request_id,
            .token = submit->token != NULL ? submit->token : SIMULATION_TOKEN,
            .pipeline = submit->pipeline,
            .body = body,
            .body_bytes = strlen(body),
            .idempotency_key = submit->key,
            .timeout_us = submit->timeout_us,
            .stream = submit->stream,
        },
        simulation->now_us);
    g_free(body);
    Simulation_RunActions(simulation, submit->daemon);
    return request;
}

void
Simulation_CallerGone(Simulation *simulation, SimulationRequest *request)
{
    SimulationDaemon *daemon = &simulation->daemons[request->daemon];
    if (request->answered || request->cut || !daemon->alive) {
        return;
    }
    Simulation_Log(simulation, "d%u: caller of %s closes its connection",
                   request->daemon, request->request_id);
    request->cut = true;
    EbDispatcher_CallerGone(daemon->dispatcher, request->handle,
                            simulation->now_us);
    Simulation_RunActions(simulation, request->daemon);
}

static SimulationRequest *
find_request(Simulation *simulation, uint32_t daemon, uint64_t handle)
{
    for (guint i = simulation->requests->len; i > 0; i--) {
        SimulationRequest *request =
            g_ptr_array_index(simulation->requests, i - 1);
        if (request->daemon == daemon && !request->cut &&
            request->incarnation == simulation->daemons[daemon].incarnation &&
            (request->handle == handle || request->handle == 0)) {
            return request;
        }
    }
    return NULL;
}

static void
check_done(Simulation *simulation, const SimulationRequest *request,
           json_t *body)
{
    json_t *answer = json_object_get(body, "answer");
    const char *text = json_string_value(json_object_get(answer, "text"));
    json_t *result = json_object_get(answer, "result");
    const char *echo = json_string_value(json_object_get(result, "echo"));
    bool pay = strcmp(request->pipeline, "pay") == 0;
    GString *expected = g_string_new(NULL);
    for (int i = 0; i < SIMULATION_TOKENS; i++) {
        g_string_append_printf(expected, "%s.%d ", request->input, i);
    }
    if ((text != NULL || !request->replayed) &&
        g_strcmp0(text, expected->str) != 0) {
        Simulation_Fail(simulation, "%s was answered with text '%s'",
                        request->request_id, text != NULL ? text : "");
    }
    g_string_free(expected, TRUE);
    if (pay && g_strcmp0(echo, request->input) != 0) {
        Simulation_Fail(simulation, "%s was answered with the result for '%s'",
                        request->request_id, echo != NULL ? echo : "");
    }
    if (pay && Simulation_Record(simulation, request->key)->runs != 1) {
        Simulation_Fail(simulation,
                        "%s was answered done, but its call did not run "
                        "exactly once",
                        request->request_id);
    }
    if (request->stream && !request->replayed && request->relayed > 0 &&
        request->relayed != SIMULATION_TOKENS) {
        Simulation_Fail(simulation, "%s received %" G_GUINT64_FORMAT " tokens",
                        request->request_id, request->relayed);
    }
}

void
Simulation_CheckAnswer(Simulation *simulation, uint32_t daemon,
                       const EbAnswer *answer)
{
    SimulationRequest *request =
        find_request(simulation, daemon, answer->request);
    if (request == NULL) {
        Simulation_Fail(simulation, "an answer that belongs to no request");
        return;
    }
    Simulation_Log(simulation, "d%u: answers %s %s %s%s", daemon,
                   request->request_id, EbOutcome_names[answer->outcome],
                   EbReason_table[answer->reason].name,
                   answer->replayed ? " replayed" : "");
    if (++request->answers > 1) {
        Simulation_Fail(simulation, "%s was answered twice",
                        request->request_id);
    }
    request->answered = true;
    request->outcome = answer->outcome;
    request->reason = answer->reason;
    request->replayed = answer->replayed;
    request->retry_after_us = answer->retry_after_us;
    request->total_us = simulation->now_us - request->submitted_us;
    SimulationRecord *record =
        Simulation_Record(simulation, request_name(request));
    if (answer->outcome == EB_OUTCOME_DONE) {
        check_done(simulation, request, answer->body);
    }
    else if (answer->outcome == EB_OUTCOME_NOT_RUN) {
        record->reported_not_run = true;
        if (record->received_calls > 0) {
            Simulation_Fail(simulation,
                            "%s was answered not-run, but a server was called",
                            request->request_id);
        }
    }
    else if (answer->outcome == EB_OUTCOME_FAILED &&
             (record->runs > 0 || record->pending > 0)) {
        Simulation_Fail(simulation,
                        "%s was answered failed, but its call was sent",
                        request->request_id);
    }
    Simulation_Trigger(simulation, STEP_ANSWER, daemon, request->request_id);
}

void
Simulation_CheckRelay(Simulation *simulation, uint32_t daemon,
                      const EbRelay *relay)
{
    SimulationRequest *request =
        find_request(simulation, daemon, relay->request);
    if (request == NULL) {
        Simulation_Fail(simulation, "tokens that belong to no request");
        return;
    }
    char *expected =
        g_strdup_printf("%s.%u ", request->input, (unsigned)request->relayed);
    if (!request->stream || request->answered ||
        relay->token_index != request->relayed || relay->token_count != 1 ||
        strcmp(relay->text, expected) != 0) {
        Simulation_Fail(simulation,
                        "%s received token %" G_GUINT64_FORMAT " '%s'",
                        request->request_id, relay->token_index, relay->text);
    }
    request->relayed += relay->token_count;
    g_free(expected);
}
