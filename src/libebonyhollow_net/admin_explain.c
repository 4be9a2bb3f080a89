/* Handler of the administration API that explains where a request would
 * go now. */
#include <stdlib.h>
#include <string.h>

#include <event2/keyvalq_struct.h>

#include "admin_internal.h"
#include "clock.h"
#include "ebonyhollow/caller_server.h"
#include "ebonyhollow/explain.h"

#define MAX_LIST_LENGTH 256

/* Reads numbers that are separated by commas. Returns how many there are, or
 * -1 when the list is malformed, too long or has a number above `max`. */
static int
read_numbers(const char *text, unsigned base, uint64_t max, uint64_t *numbers,
             int max_count)
{
    int count = 0;
    for (const char *rest = text; *rest != '\0';) {
        char *end;
        if (count == max_count || !g_ascii_isxdigit(*rest)) {
            return -1;
        }
        numbers[count] = g_ascii_strtoull(rest, &end, base);
        if (end == rest || numbers[count] > max ||
            (*end != '\0' && (*end != ',' || end[1] == '\0'))) {
            return -1;
        }
        count++;
        rest = *end == ',' ? end + 1 : end;
    }
    return count;
}

static bool
read_tokens(EbForwardCall *call, const char *text)
{
    uint64_t tokens[2];
    if (read_numbers(text, 10, UINT32_MAX, tokens, 2) != 2) {
        return false;
    }
    call->prompt_tokens = (uint32_t)tokens[0];
    call->output_tokens = (uint32_t)tokens[1];
    return true;
}

static bool
read_items(EbForwardCall *call, const char *text)
{
    uint64_t items[EB_CONFIG_MAX_PREPARATIONS];
    int count = read_numbers(text, 10, EB_FORWARD_MAX_WORK_ITEMS, items,
                             EB_CONFIG_MAX_PREPARATIONS);
    for (int i = 0; i < count; i++) {
        call->item_counts[i] = (uint32_t)items[i];
    }
    call->item_stage_count = (uint32_t)MAX(count, 0);
    return count >= 0;
}

static bool
read_parts(EbForwardCall *call, const char *text)
{
    uint64_t ids[MAX_LIST_LENGTH];
    int count = read_numbers(text, 16, UINT64_MAX, ids, MAX_LIST_LENGTH);
    call->parts = g_new0(EbPromptPart, MAX(count, 0) + 1);
    for (int i = 0; i < count; i++) {
        call->parts[i].id = ids[i];
    }
    call->part_count = (uint32_t)MAX(count, 0);
    return count >= 0;
}

/* Reads the call from the query. Returns NULL and sets `fault` when it is
 * incomplete or malformed. */
static EbForwardCall *
read_call(struct evkeyvalq *query, const char **fault)
{
    static const struct {
        const char *name;
        bool (*read)(EbForwardCall *call, const char *text);
        const char *fault;
    } lists[] = {
        {"tokens", read_tokens, "tokens must be IN,OUT"},
        {"items", read_items,
         "items must be counts for the stages, separated by commas"},
        {"parts", read_parts,
         "parts must be hexadecimal ids, separated by commas"},
    };
    const char *host = evhttp_find_header(query, "host");
    const char *path = evhttp_find_header(query, "path");
    *fault =
        host == NULL || path == NULL ? "host and path are required" : NULL;
    EbForwardCall *call = g_new0(EbForwardCall, 1);
    call->references = 1;
    call->last_event_id = EB_FORWARD_NO_EVENT;
    call->host = host != NULL ? g_ascii_strdown(host, -1) : NULL;
    call->path = g_strdup(path);
    for (size_t i = 0; i < G_N_ELEMENTS(lists) && *fault == NULL; i++) {
        const char *text = evhttp_find_header(query, lists[i].name);
        if (text != NULL && !lists[i].read(call, text)) {
            *fault = lists[i].fault;
        }
    }
    if (*fault != NULL) {
        EbForwardCall_Unref(call);
        return NULL;
    }
    return call;
}

/* Returns the numbers of the bits that are set. */
static json_t *
describe_set(EbPreparationSet set)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < EB_CONFIG_MAX_PREPARATIONS; i++) {
        if ((set & EB_PREPARATION_BIT(i)) != 0) {
            json_array_append_new(list, json_integer(i));
        }
    }
    return list;
}

static const char *
find_home(const EbAdminServerOptions *options, const EbExplainedStage *stage)
{
    if (stage->local) {
        return options->settings->instance;
    }
    return options->stage_home != NULL
               ? options->stage_home(options->context, stage->service)
               : NULL;
}

static json_t *
describe_stages(const EbAdminServerOptions *options,
                const EbExplanation *explanation)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < explanation->stage_count; i++) {
        const EbExplainedStage *stage = &explanation->stages[i];
        const char *home = find_home(options, stage);
        json_array_append_new(
            list,
            json_pack("{s:I, s:s, s:o, s:I, s:s?, s:I, s:I, s:b}", "stage",
                      (json_int_t)i, "service", stage->service, "after",
                      describe_set(stage->dependencies), "items",
                      (json_int_t)stage->item_count, "home", home,
                      "expected_us", (json_int_t)stage->expected_us, "min_us",
                      (json_int_t)stage->min_us, "evacuated",
                      stage->evacuated));
    }
    return list;
}

static json_t *
describe_objections(uint32_t objections)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < EB_OBJECTION_COUNT; i++) {
        if ((objections & EB_OBJECTION_BIT(i)) != 0) {
            json_array_append_new(list, json_string(EbObjection_names[i]));
        }
    }
    return list;
}

/* A time that is not known is null. */
static json_t *
describe_time(int64_t time_us)
{
    return time_us < 0 || time_us == INT64_MAX ? json_null()
                                               : json_integer(time_us);
}

static json_t *
describe_candidate(const EbPoolCandidate *candidate,
                   const EbExplanation *explanation, int64_t now_us)
{
    const EbServerView *view = &candidate->view;
    int64_t admission_us = candidate->admission_us;
    json_t *server = json_pack(
        "{s:s, s:s, s:b, s:s, s:s, s:o, s:I, s:I, s:I, s:o, s:o, s:I, s:b, "
        "s:b}",
        "id", view->server->id, "failure_domain", view->server->failure_domain,
        "own_domain", candidate->in_own_domain, "state",
        EbServerState_names[view->state], "cause", view->cause, "against",
        describe_objections(candidate->objections), "in_flight",
        (json_int_t)view->in_flight, "slots", (json_int_t)candidate->slots,
        "reported_load", (json_int_t)view->reported_load, "report_age_us",
        describe_time(candidate->report_age_us), "admission_in_us",
        describe_time(admission_us == INT64_MAX ? INT64_MAX
                                                : admission_us - now_us),
        "cold_left_us", (json_int_t)view->cold_left_us, "cached",
        view->server == explanation->cached, "chosen",
        view->server == explanation->chosen);
    json_object_set_new(server, "load", json_real(candidate->load));
    json_object_set_new(server, "latency_us",
                        json_integer((json_int_t)candidate->latency_us));
    json_object_set_new(server, "failure_rate",
                        json_real(candidate->failure_rate));
    json_object_set_new(server, "work_factor",
                        json_real(candidate->work_factor));
    json_object_set_new(server, "cost_us",
                        json_integer((json_int_t)candidate->cost_us));
    return server;
}

static json_t *
describe_limits(const EbLimiterView *limits)
{
    json_t *age = limits->granted ? json_integer(EB_LIMITER_GRANT_VALIDITY_US -
                                                 limits->grant_left_us)
                                  : json_null();
    return json_pack(
        "{s:b, s:o, s:I, s:I, s:I, s:I}", "granted", limits->granted,
        "grant_age_us", age, "in_flight", (json_int_t)limits->in_flight,
        "share_requests_per_s_milli",
        (json_int_t)limits->share_requests_per_s_milli,
        "share_concurrent_requests",
        (json_int_t)limits->share_concurrent_requests, "share_tokens_per_s",
        (json_int_t)limits->share_tokens_per_s);
}

/* Adds what is known only once the route and the customer are. */
static void
describe_pool(json_t *answer, const EbAdminServerOptions *options,
              const EbExplanation *explanation, int64_t now_us)
{
    json_object_set_new(answer, "priority",
                        json_integer(explanation->priority));
    json_object_set_new(answer, "deadline_us",
                        json_integer(explanation->deadline_us));
    json_object_set_new(answer, "limits",
                        describe_limits(&explanation->limits));
    json_object_set_new(
        answer, "pool",
        json_pack("{s:s, s:I, s:I, s:o, s:I}", "name", explanation->pool,
                  "waiting", (json_int_t)explanation->waiting, "queue_max",
                  (json_int_t)explanation->queue_max, "limit_delay_us",
                  describe_time(explanation->limit_delay_us), "expected_us",
                  (json_int_t)explanation->expected_us));
    json_object_set_new(answer, "stages",
                        describe_stages(options, explanation));
    json_t *servers = json_array();
    for (size_t i = 0; i < explanation->server_count; i++) {
        json_array_append_new(
            servers,
            describe_candidate(&explanation->servers[i], explanation, now_us));
    }
    json_object_set_new(answer, "servers", servers);
    json_object_set_new(answer, "choice",
                        explanation->chosen != NULL
                            ? json_string(explanation->chosen->id)
                            : json_null());
}

static json_t *
describe(const EbAdminServerOptions *options, const EbExplanation *explanation,
         int64_t now_us)
{
    const char *pipeline =
        explanation->pipeline != NULL ? explanation->pipeline->name : NULL;
    const char *customer =
        explanation->customer != NULL ? explanation->customer->id : NULL;
    const char *reason = explanation->reason != EB_REASON_NONE
                             ? EbReason_table[explanation->reason].name
                             : NULL;
    json_t *answer =
        json_pack("{s:s, s:s, s:s?, s:s?, s:I, s:s?, s:s?}", "instance",
                  options->settings->instance, "admission",
                  EbAdmission_names[explanation->admission], "reason", reason,
                  "waits_for", explanation->waits_for, "retry_after_us",
                  (json_int_t)explanation->retry_after_us, "pipeline",
                  pipeline, "customer", customer);
    if (explanation->pool != NULL) {
        describe_pool(answer, options, explanation, now_us);
    }
    return answer;
}

void
EbAdmin_Explain(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    int64_t now_us = EbClock_Monotonic();
    struct evkeyvalq query = {0};
    const char *fault = "the query is malformed";
    EbForwardCall *asked = NULL;
    if (evhttp_parse_query_str(call->query != NULL ? call->query : "",
                               &query) == 0) {
        asked = read_call(&query, &fault);
    }
    if (asked == NULL) {
        EbAdmin_ReplyProblem(call->server, call->request, 400, fault, NULL);
    }
    else {
        bool named = g_str_has_prefix(asked->path, EB_CALLER_PATH_PREFIX);
        EbExplainQuery question = {
            .call = asked,
            .pipeline =
                named ? asked->path + strlen(EB_CALLER_PATH_PREFIX) : NULL,
            .customer = evhttp_find_header(&query, "customer")};
        EbExplanation explanation;
        EbDispatcher_Explain(options->dispatcher, &question, now_us,
                             &explanation);
        EbAdmin_Reply(call->server, call->request, 200,
                      describe(options, &explanation, now_us));
        EbExplanation_Clear(&explanation);
    }
    EbForwardCall_Unref(asked);
    evhttp_clear_headers(&query);
}
