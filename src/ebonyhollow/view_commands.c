#include <string.h>

#include "admin.h"
#include "output.h"

/* Requests a path and prints the rows in the array `name` of the answer. */
static EbExit
print_rows(EbInvocation *invocation, const char *path, const char *name,
           const EbOutputColumn *columns, size_t column_count)
{
    json_t *answer;
    EbExit code = EbAdmin_Call(invocation, "GET", path, NULL, &answer);
    if (code != EB_EXIT_DONE) {
        return code;
    }
    json_t *rows = EbAdmin_FindArray(answer, name);
    if (invocation->json) {
        EbOutput_Json(invocation->out, answer, 0);
    }
    else if (rows != NULL) {
        EbOutput_Table(invocation->out, rows, columns, column_count);
    }
    else {
        code =
            EbOutput_Fail(invocation, EB_EXIT_FAILED, EB_ERROR_PROTOCOL,
                          "check that --admin names a daemon of this version",
                          "the answer lacks the list \"%s\"", name);
    }
    json_decref(answer);
    return code;
}

EbExit
EbCommand_ConfigHistory(EbInvocation *invocation)
{
    static const EbOutputColumn columns[] = {
        {"GENERATION", "generation"}, {"SOURCE", "source"}, {"TIME", "time"}};
    return print_rows(invocation, "/v1/config/history", "history", columns,
                      G_N_ELEMENTS(columns));
}

/* Prints the array `name` of an object as a table below a title, and nothing
 * if it is empty. */
static void
print_section(FILE *out, json_t *object, const char *name, const char *title,
              const EbOutputColumn *columns, size_t column_count)
{
    json_t *rows = json_incref(json_object_get(object, name));
    if (json_array_size(rows) > 0) {
        fprintf(out, "\n%s\n", title);
        EbOutput_Table(out, rows, columns, column_count);
    }
    json_decref(rows);
}

static void
print_status(FILE *out, json_t *status)
{
    static const EbOutputColumn attainment_columns[] = {
        {"CUSTOMER", "customer"},
        {"PIPELINE", "pipeline"},
        {"OUTCOME", "outcome"},
        {"REQUESTS", "requests"}};
    static const EbOutputColumn cost_columns[] = {{"STAGE", "stage"},
                                                  {"CALLS", "calls"},
                                                  {"ATTEMPTS", "attempts"},
                                                  {"SERVER_MS", "server_ms"}};
    static const EbOutputColumn evacuation_columns[] = {
        {"DOMAIN", "failure_domain"},
        {"STATE", "state"},
        {"CALLS", "calls"},
        {"AGE_US", "age_us"},
        {"ERA", "era"},
        {"REVISION", "revision"}};
    json_t *summary = json_copy(status);
    json_object_del(summary, "evacuations");
    json_object_del(summary, "attainment");
    json_object_del(summary, "stages");
    EbOutput_Pairs(out, summary);
    json_decref(summary);
    print_section(out, status, "evacuations",
                  "evacuated failure domains:", evacuation_columns,
                  G_N_ELEMENTS(evacuation_columns));
    json_t *attainment = json_object_get(status, "attainment");
    print_section(out, attainment, "requests",
                  "requests answered:", attainment_columns,
                  G_N_ELEMENTS(attainment_columns));
    print_section(out, attainment, "in_time",
                  "requests answered once and in time:", attainment_columns,
                  G_N_ELEMENTS(attainment_columns));
    print_section(out, status, "stages", "cost by stage:", cost_columns,
                  G_N_ELEMENTS(cost_columns));
}

EbExit
EbCommand_Status(EbInvocation *invocation)
{
    json_t *answer;
    EbExit code = EbAdmin_Call(invocation, "GET", "/v1/status", NULL, &answer);
    if (code == EB_EXIT_DONE && invocation->json) {
        EbOutput_Json(invocation->out, answer, 0);
    }
    else if (code == EB_EXIT_DONE) {
        print_status(invocation->out, answer);
    }
    json_decref(answer);
    return code;
}

EbExit
EbCommand_Servers(EbInvocation *invocation)
{
    static const EbOutputColumn columns[] = {{"ID", "id"},
                                             {"POOL", "pool"},
                                             {"DOMAIN", "failure_domain"},
                                             {"ADDRESS", "address"},
                                             {"STATE", "state"},
                                             {"CAUSE", "cause"},
                                             {"IN_FLIGHT", "in_flight"},
                                             {"LIMIT", "limit"},
                                             {"LOAD", "reported_load"},
                                             {"LATENCY_US", "latency_us"},
                                             {"CALLS", "calls"},
                                             {"FAILURES", "failures"}};
    return print_rows(invocation, "/v1/servers", "servers", columns,
                      G_N_ELEMENTS(columns));
}

EbExit
EbCommand_Peers(EbInvocation *invocation)
{
    static const EbOutputColumn columns[] = {
        {"INSTANCE", "instance"}, {"INCARNATION", "incarnation"},
        {"ADDRESS", "address"},   {"DOMAIN", "failure_domain"},
        {"STATE", "state"},       {"LINKED", "linked"},
        {"IDLE_US", "idle_us"},   {"ROUND_TRIP_US", "round_trip_us"}};
    return print_rows(invocation, "/v1/peers", "peers", columns,
                      G_N_ELEMENTS(columns));
}

EbExit
EbCommand_Customers(EbInvocation *invocation)
{
    static const EbOutputColumn columns[] = {
        {"ID", "id"},
        {"WEIGHT", "weight"},
        {"IN_FLIGHT", "in_flight"},
        {"REFUSED", "refused"},
        {"GRANTED", "granted"},
        {"REQUESTS/S/1000", "share_requests_per_s_milli"},
        {"CONCURRENT", "share_concurrent_requests"},
        {"TOKENS/S", "share_tokens_per_s"}};
    return print_rows(invocation, "/v1/customers", "customers", columns,
                      G_N_ELEMENTS(columns));
}

/* Prints the fields of one request, and below them its trace. */
static EbExit
print_request_details(EbInvocation *invocation)
{
    static const EbOutputColumn columns[] = {
        {"AGE_US", "age_us"},         {"EVENT", "event"},
        {"STAGE", "stage"},           {"ATTEMPT", "attempt"},
        {"SERVER", "backend_server"}, {"DETAIL", "detail"}};
    char *id = g_uri_escape_string(invocation->id, NULL, FALSE);
    char *path = g_strdup_printf("/v1/requests?id=%s", id);
    json_t *answer;
    EbExit code = EbAdmin_Call(invocation, "GET", path, NULL, &answer);
    g_free(path);
    g_free(id);
    if (code != EB_EXIT_DONE) {
        return code;
    }
    json_t *request = json_array_get(EbAdmin_FindArray(answer, "requests"), 0);
    if (request == NULL) {
        code =
            EbOutput_Fail(invocation, EB_EXIT_FAILED, EB_ERROR_REFERENCE,
                          "ask the daemon that received the request; only "
                          "recent requests are kept",
                          "this daemon has no request \"%s\"", invocation->id);
    }
    else if (invocation->json) {
        EbOutput_Json(invocation->out, request, 0);
    }
    else {
        json_t *trace = json_incref(json_object_get(request, "trace"));
        json_object_del(request, "trace");
        EbOutput_Pairs(invocation->out, request);
        if (json_array_size(trace) > 0) {
            fputc('\n', invocation->out);
            EbOutput_Table(invocation->out, trace, columns,
                           G_N_ELEMENTS(columns));
        }
        json_decref(trace);
    }
    json_decref(answer);
    return code;
}

EbExit
EbCommand_Requests(EbInvocation *invocation)
{
    static const EbOutputColumn columns[] = {{"ID", "id"},
                                             {"CUSTOMER", "customer"},
                                             {"PIPELINE", "pipeline"},
                                             {"STATE", "state"},
                                             {"STAGE", "stage"},
                                             {"AGE_US", "age_us"},
                                             {"OUTCOME", "outcome"},
                                             {"REASON", "reason"}};
    if (invocation->id != NULL) {
        return print_request_details(invocation);
    }
    return print_rows(invocation, "/v1/requests", "requests", columns,
                      G_N_ELEMENTS(columns));
}

EbExit
EbCommand_QuarantineList(EbInvocation *invocation)
{
    static const EbOutputColumn columns[] = {{"FINGERPRINT", "fingerprint"},
                                             {"STATE", "state"},
                                             {"POINTS", "points"},
                                             {"REMAINING_US", "remaining_us"}};
    return print_rows(invocation, "/v1/quarantine", "quarantine", columns,
                      G_N_ELEMENTS(columns));
}
