#include "admin.h"
#include "output.h"

/* Names of the parameters of GET /v1/explain, indexed by EbExplainOption. */
static const char *const parameters[EB_EXPLAIN_COUNT] = {
    [EB_EXPLAIN_HOST] = "host",         [EB_EXPLAIN_PATH] = "path",
    [EB_EXPLAIN_CUSTOMER] = "customer", [EB_EXPLAIN_TOKENS] = "tokens",
    [EB_EXPLAIN_ITEMS] = "items",       [EB_EXPLAIN_PARTS] = "parts",
};

static char *
build_path(const EbInvocation *invocation)
{
    GString *path = g_string_new("/v1/explain");
    char separator = '?';
    for (int i = 0; i < EB_EXPLAIN_COUNT; i++) {
        if (invocation->explain[i] != NULL) {
            char *value =
                g_uri_escape_string(invocation->explain[i], NULL, FALSE);
            g_string_append_printf(path, "%c%s=%s", separator, parameters[i],
                                   value);
            separator = '&';
            g_free(value);
        }
    }
    return g_string_free(path, FALSE);
}

/* Joins the elements of each row's array `name` to one string, so that a table
 * shows them as a list. */
static void
join_lists(json_t *rows, const char *name)
{
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        GString *text = g_string_new(NULL);
        size_t element_index;
        json_t *element;
        json_array_foreach(json_object_get(row, name), element_index, element)
        {
            g_string_append(text, element_index > 0 ? "," : "");
            if (json_is_string(element)) {
                g_string_append(text, json_string_value(element));
            }
            else {
                g_string_append_printf(text, "%lld",
                                       (long long)json_integer_value(element));
            }
        }
        json_object_set_new(row, name, json_string(text->str));
        g_string_free(text, TRUE);
    }
}

static void
print_rows(FILE *out, json_t *answer, const char *name, const char *title,
           const EbOutputColumn *columns, size_t column_count)
{
    json_t *rows = json_object_get(answer, name);
    if (json_array_size(rows) > 0) {
        fprintf(out, "\n%s\n", title);
        EbOutput_Table(out, rows, columns, column_count);
    }
}

static void
print_explanation(FILE *out, json_t *answer)
{
    static const EbOutputColumn stage_columns[] = {
        {"STAGE", "stage"},   {"SERVICE", "service"},
        {"AFTER", "after"},   {"ITEMS", "items"},
        {"HOME", "home"},     {"EXPECTED_US", "expected_us"},
        {"MIN_US", "min_us"}, {"EVACUATED", "evacuated"}};
    static const EbOutputColumn server_columns[] = {
        {"CHOSEN", "chosen"},
        {"ID", "id"},
        {"DOMAIN", "failure_domain"},
        {"AGAINST", "against"},
        {"CAUSE", "cause"},
        {"CACHED", "cached"},
        {"IN_FLIGHT", "in_flight"},
        {"SLOTS", "slots"},
        {"LOAD", "load"},
        {"REPORT_AGE_US", "report_age_us"},
        {"LATENCY_US", "latency_us"},
        {"FAILURES", "failure_rate"},
        {"WORK", "work_factor"},
        {"COST_US", "cost_us"},
        {"ADMITS_IN_US", "admission_in_us"}};
    json_t *summary = json_copy(answer);
    json_object_del(summary, "stages");
    json_object_del(summary, "servers");
    EbOutput_Pairs(out, summary);
    json_decref(summary);
    join_lists(json_object_get(answer, "stages"), "after");
    join_lists(json_object_get(answer, "servers"), "against");
    print_rows(
        out, answer, "stages",
        "stages; another daemon that is the home alone knows the wait there:",
        stage_columns, G_N_ELEMENTS(stage_columns));
    print_rows(out, answer, "servers", "servers considered:", server_columns,
               G_N_ELEMENTS(server_columns));
}

EbExit
EbCommand_Explain(EbInvocation *invocation)
{
    if (invocation->explain[EB_EXPLAIN_HOST] == NULL ||
        invocation->explain[EB_EXPLAIN_PATH] == NULL) {
        return EbOutput_Fail(invocation, EB_EXIT_USAGE, EB_ERROR_USAGE,
                             "see 'ebonyhollow --help'",
                             "explain takes --host and --path");
    }
    char *path = build_path(invocation);
    json_t *answer;
    EbExit code = EbAdmin_Call(invocation, "GET", path, NULL, &answer);
    g_free(path);
    if (code == EB_EXIT_DONE && invocation->json) {
        EbOutput_Json(invocation->out, answer, 0);
    }
    else if (code == EB_EXIT_DONE) {
        print_explanation(invocation->out, answer);
    }
    json_decref(answer);
    return code;
}
