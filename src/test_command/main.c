/* Tests of the operators' command: parsing of arguments, exit codes, output
 * and the HTTP client. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "answer_stream.h"
#include "command.h"
#include "difference.h"
#include "output.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define EXAMPLE EB_SOURCE_DIRECTORY "/examples/capas/configuration.json"
#define TOKEN "secret-token-1"
#define MAX_RESPONSES 4
#define MAX_WORDS 16

/* A scripted response that takes the place of a call to the daemon. */
typedef struct {
    EbHttpResult result;
    int status;
    const char *body; /* passed to handle_chunk if the request has it */
    const char *outcome;
} ScriptedResponse;

static const ScriptedResponse *script_responses;
static size_t call_count;
static GString *calls; /* "METHOD path body header=value ...\n" per call */
static int64_t clock_us;

static EbHttpResult
scripted_call(struct event_base *base, const EbHttpRequest *request,
              EbHttpResponse *response, EbError *error)
{
    (void)base;
    const ScriptedResponse *scripted =
        &script_responses[MIN(call_count, MAX_RESPONSES - 1)];
    call_count++;
    g_string_append_printf(calls, "%s %s %s", request->method, request->path,
                           request->body ? request->body : "");
    for (size_t i = 0; i < request->header_count; i++) {
        g_string_append_printf(calls, " %s=%s", request->headers[i].name,
                               request->headers[i].value);
    }
    g_string_append_c(calls, '\n');
    CU_ASSERT_STRING_EQUAL(request->token, TOKEN);
    *response = (EbHttpResponse){.status = scripted->status,
                                 .body = g_string_new(NULL),
                                 .outcome = g_strdup(scripted->outcome)};
    if (request->handle_chunk != NULL && scripted->body != NULL) {
        response->content_type = g_strdup("text/event-stream");
        request->handle_chunk(request->chunk_context, scripted->body,
                              strlen(scripted->body));
    }
    else if (scripted->body != NULL) {
        g_string_append(response->body, scripted->body);
    }
    EbError_Clear(error);
    if (scripted->result != EB_HTTP_ANSWERED) {
        EbError_Set(error, EB_ERROR_UNAVAILABLE, "scripted");
    }
    return scripted->result;
}

static void
scripted_sleep(uint32_t ms)
{
    clock_us += (int64_t)ms * 1000;
}

static int64_t
scripted_now(void)
{
    return clock_us;
}

/* Exit code and output of one run. */
typedef struct {
    int code;
    char *out;
    char *err;
} RunResult;

/* Runs a command line whose words are separated by spaces. A '+' within a word
 * stands for a space. `input` is the standard input. No output may contain the
 * token. */
static RunResult
run_command(const char *line, const ScriptedResponse *script,
            const char *input)
{
    RunResult run = {0};
    size_t out_bytes, err_bytes;
    char *command_line = g_strconcat("ebonyhollow ", line, NULL);
    char **words = g_strsplit(command_line, " ", MAX_WORDS);
    for (size_t i = 0; words[i] != NULL; i++) {
        g_strdelimit(words[i], "+", ' ');
    }
    script_responses = script;
    call_count = 0;
    g_string_set_size(calls, 0);
    EbInvocation invocation = {
        .in = fmemopen((void *)input, strlen(input), "r"),
        .out = open_memstream(&run.out, &out_bytes),
        .err = open_memstream(&run.err, &err_bytes),
        .http_call = scripted_call,
        .sleep_ms = scripted_sleep,
        .now_us = scripted_now,
    };
    run.code = EbCommand_Main((int)g_strv_length(words), words, &invocation);
    fclose(invocation.in);
    fclose(invocation.out);
    fclose(invocation.err);
    CU_ASSERT_PTR_NULL(strstr(run.out, TOKEN));
    CU_ASSERT_PTR_NULL(strstr(run.err, TOKEN));
    g_strfreev(words);
    g_free(command_line);
    return run;
}

static void
clear_run(RunResult *run)
{
    free(run->out);
    free(run->err);
}

/* A command line with the responses of the daemon and the expected result. */
typedef struct {
    const char *line;
    ScriptedResponse script[MAX_RESPONSES]; /* the last one repeats */
    int code;
    const char *out;  /* substring of the output */
    const char *err;  /* substring of the error output */
    const char *call; /* substring of the calls made */
} Case;

#define REPEAT(response)                                                      \
    {                                                                         \
        response, response, response, response                                \
    }
#define OK(text)                                                              \
    {                                                                         \
        EB_HTTP_ANSWERED, 200, text, NULL                                     \
    }
#define STATUS(number, text)                                                  \
    {                                                                         \
        EB_HTTP_ANSWERED, number, text, NULL                                  \
    }
#define ANSWER_LOST                                                           \
    {                                                                         \
        EB_HTTP_ANSWER_LOST, 0, NULL, NULL                                    \
    }
#define UNREACHABLE                                                           \
    {                                                                         \
        EB_HTTP_UNREACHABLE, 0, NULL, NULL                                    \
    }

/* Guards against invalid arguments that are accepted, that give an exit code
 * other than 2, or that lead to a call to the daemon. */
static void
test_usage(void)
{
    static const char *const lines[] = {
        "",
        "unknown",
        "config",
        "config unknown",
        "config check",
        "config check a b",
        "config show --wait",
        ("config apply " EXAMPLE " --wait 0"),
        ("config apply " EXAMPLE " --wait 2"),
        ("config apply " EXAMPLE " --wait x"),
        "config diff /nonexistent",
        "status extra",
        "status --output xml",
        "status --timeout 0",
        "status --timeout 10x",
        "status --admin",
        "--nonsense status",
        "drain --wait=5",
        "outcome customer",
        "quarantine release",
        "quarantine release a/b",
        "submit p",
        "submit p --input",
        "submit p --input x --body y",
        "submit p --input= ",
        ("submit p --body " EXAMPLE),
        "submit p --input x --timeout-ms -1",
        ("settings check " EXAMPLE),
        "digest",
    };
    static const ScriptedResponse script[MAX_RESPONSES] = REPEAT(OK("{}"));
    for (size_t i = 0; i < TABLE_COUNT(lines); i++) {
        RunResult run = run_command(lines[i], script, " ");
        bool rejected = run.code == EB_EXIT_USAGE && call_count == 0 &&
                        strlen(run.err) > 0;
        CU_ASSERT_TRUE(rejected);
        if (!rejected) {
            printf("\n\"%s\": exit %d, calls %s\n", lines[i], run.code,
                   calls->str);
        }
        clear_run(&run);
    }
}

/* Runs the cases and checks exit code, output and calls. */
static void
run_cases(const Case *cases, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        RunResult run = run_command(cases[i].line, cases[i].script, " ");
        bool matches = run.code == cases[i].code &&
                       strstr(run.out, cases[i].out) != NULL &&
                       strstr(run.err, cases[i].err) != NULL &&
                       strstr(calls->str, cases[i].call) != NULL;
        if (strstr(cases[i].line, "output json") != NULL) {
            json_t *document = json_loads(run.out, 0, NULL);
            matches = matches && document != NULL;
            json_decref(document);
        }
        CU_ASSERT_TRUE(matches);
        if (!matches) {
            printf("\n%s: exit %d\nout: %.400s\nerr: %.400s\ncalls: %.400s\n",
                   cases[i].line, run.code, run.out, run.err, calls->str);
        }
        clear_run(&run);
    }
}

/* Guards against administration commands whose exit codes differ from the
 * manual page, and against JSON output that is not exactly one document. */
static void
test_administration(void)
{
    static const Case cases[] = {
        {"status",
         REPEAT(OK("{\"instance\":\"i\",\"drain\":{\"state\":\"no\"},"
                   "\"stages\":[{\"stage\":\"encode\"}]}")),
         0, "drain.state                   no", "", "GET /v1/status"},
        {"status",
         REPEAT(
             OK("{\"attainment\":{\"requests\":[{\"customer\":\"c\",\"pipeline"
                "\":\"p\",\"outcome\":\"done\",\"requests\":4}]}}")),
         0, "c         p         done     4\n", "", ""},
        {"status --output json", REPEAT(OK("{\"instance\":\"i\"}")), 0,
         "\"i\"", "", ""},
        {"status", REPEAT(UNREACHABLE), 4, "", "check --admin", ""},
        {"status", REPEAT(ANSWER_LOST), 4, "", "longer --timeout", ""},
        {"drain", REPEAT(ANSWER_LOST), 1, "", "may have taken effect", ""},
        {"status", REPEAT(STATUS(401, "{\"title\":\"no\"}")), 1, "",
         "check the token", ""},
        {"status", REPEAT(STATUS(500, "<html>")), 1, "", "status 500", ""},
        {"status", REPEAT(OK("nonsense")), 1, "", "not JSON", ""},
        {"--output json servers", REPEAT(UNREACHABLE), 4, "\"error\"",
         "scripted", ""},
        {"servers", REPEAT(OK("{\"servers\":[{\"id\":\"g-1\",\"limit\":4}]}")),
         0, "g-1  -     -       -        -      -", "", "GET /v1/servers"},
        {"servers", REPEAT(OK("{}")), 1, "", "lacks the list", ""},
        {"peers", REPEAT(OK("{\"peers\":[]}")), 0, "INSTANCE", "", ""},
        {"customers", REPEAT(OK("{\"customers\":[]}")), 0, "WEIGHT", "", ""},
        {"config history", REPEAT(OK("{\"history\":[{\"generation\":7}]}")), 0,
         "7           -", "", "GET /v1/config/history"},
        {"requests --id a+b", REPEAT(OK("{\"requests\":[]}")), 1, "",
         "no request \"a b\"", "/v1/requests?id=a%20b"},
        {"requests --id r1 --output json",
         REPEAT(OK("{\"requests\":[{\"id\":\"r1\",\"trace\":[]}]}")), 0,
         "{\"id\": \"r1\"", "", ""},
        {"explain --host n --path /a+n --items 1,2",
         REPEAT(OK("{\"admission\":\"waits\",\"stages\":[{\"stage\":0,"
                   "\"after\":[1,2],\"home\":\"i-2\"}],\"servers\":[{\"id\":"
                   "\"g-1\",\"against\":[\"ejected\",\"no-free-slot\"]}]}")),
         0, "ejected,no-free-slot", "",
         "GET /v1/explain?host=n&path=%2Fa%20n&items=1%2C2"},
        {"explain --host h --path / --json",
         REPEAT(OK("{\"choice\":\"g-1\"}")), 0, "{\"choice\": \"g-1\"}", "",
         ""},
        {"explain --host h --path /", REPEAT(STATUS(400, "{}")), 2, "", "",
         ""},
        {"quarantine", REPEAT(OK("{\"quarantine\":[]}")), 0, "FINGERPRINT", "",
         "GET /v1/quarantine"},
        {"quarantine release 00ff", REPEAT(OK("")), 0, "released", "",
         "DELETE /v1/quarantine/00ff"},
        {"quarantine release 00ff", REPEAT(STATUS(403, "{}")), 1, "", "role",
         ""},
        {"drain", REPEAT(OK("{}")), 0, "draining", "", "POST /v1/drain"},
        {"drain --wait",
         {OK("{}"), OK("{\"live_requests\":2}"), UNREACHABLE},
         0,
         "exited",
         "",
         "GET /v1/status"},
        {"drain --wait --timeout 2", REPEAT(OK("{\"live_requests\":2}")), 1,
         "", "live requests: 2", ""},
        {"drain --wait --output json",
         {OK("{}"), UNREACHABLE},
         0,
         "finished",
         "",
         ""},
        {"outcome c a/b", REPEAT(OK("{\"outcome\":\"done\"}")), 0, "done", "",
         "/v1/outcomes/c/a%2Fb"},
        {"outcome c k", REPEAT(OK("{\"outcome\":\"not-run\"}")), 5, "", "new",
         ""},
        {"outcome c k", REPEAT(OK("{\"outcome\":\"failed\"}")), 6, "", "", ""},
        {"outcome c k --output json", REPEAT(OK("{\"outcome\":\"unknown\"}")),
         7, "unknown", "", ""},
        {"outcome c k", REPEAT(OK("{}")), 7, "", "", ""},
        {"outcome c k", REPEAT(STATUS(404, "{}")), 1, "", "", ""},
    };
    run_cases(cases, TABLE_COUNT(cases));
}

/* Guards against a configuration change that overwrites a concurrent one, that
 * is reported as rejected although it is in force, or as accepted although it
 * is not. */
static void
test_config(void)
{
    char *example;
    CU_ASSERT_TRUE_FATAL(g_file_get_contents(EXAMPLE, &example, NULL, NULL));
    json_t *document = json_loads(example, 0, NULL);
    json_object_set_new(document, "generation", json_integer(1));
    char *dumped = json_dumps(document, JSON_COMPACT);
    char *applied =
        g_strdup_printf("{\"generation\":1,\"document\":%s}", dumped);
    const Case cases[] = {
        {"config check " EXAMPLE, REPEAT(UNREACHABLE), 0, "pipelines", "", ""},
        {"config show", REPEAT(OK(applied)), 0, "\"generation\": 1", "", ""},
        {"config show --merged --output json", REPEAT(OK("{\"pools\":{}}")), 0,
         "pools", "", "GET /v1/config/merged"},
        {"config show", REPEAT(OK("{}")), 1, "", "lacks the configuration",
         ""},
        {"config diff " EXAMPLE, REPEAT(OK(applied)), 0,
         "changed  $.generation  1     0", "", ""},
        {"config diff " EXAMPLE " --output json", REPEAT(OK(applied)), 0,
         "\"changes\"", "", ""},
        {"config apply " EXAMPLE, REPEAT(OK("{\"generation\":1}")), 0,
         "generation 1 is accepted", "",
         "PUT /v1/config {\"from_generation\":0"},
        {"config apply " EXAMPLE,
         REPEAT(STATUS(409, "{\"detail\":\"it is 3\"}")), 3, "", "config show",
         ""},
        {"config apply " EXAMPLE " --output json",
         REPEAT(STATUS(422, "{\"detail\":\"bad\",\"path\":\"$.base\"}")), 2,
         "$.base", "bad", ""},
        {"config apply " EXAMPLE, REPEAT(UNREACHABLE), 4, "", "check --admin",
         ""},
        {"config apply " EXAMPLE,
         {ANSWER_LOST, OK(applied)},
         0,
         "accepted",
         "",
         "GET /v1/config"},
        {"config apply " EXAMPLE,
         {ANSWER_LOST, OK("{}")},
         1,
         "",
         "may have been accepted",
         ""},
        {"config apply " EXAMPLE, REPEAT(STATUS(503, "{}")), 1, "",
         "may have been accepted", ""},
        {"config apply " EXAMPLE " --wait 2 --peer 10.0.0.2:8081",
         {OK("{\"generation\":1}"), OK("{\"generation\":1}"),
          OK("{\"generation\":0}"), OK("{\"generation\":1}")},
         0,
         "in force at 2 daemons",
         "",
         "GET /v1/status"},
        {"config apply " EXAMPLE " --wait 1 --timeout 1",
         {OK("{\"generation\":1}"), OK("{\"generation\":0}"),
          OK("{\"generation\":0}"), OK("{\"generation\":0}")},
         1,
         "",
         "in force at 0 of 1",
         ""},
    };
    run_cases(cases, TABLE_COUNT(cases));
    g_free(applied);
    free(dumped);
    json_decref(document);
    g_free(example);
}

#define DONE "{\"outcome\":\"done\",\"answer\":{\"text\":\"hello\"}}"

/* Guards against an outcome that is reported as better than it is, such as
 * done for an incomplete answer. */
static void
test_submit(void)
{
    static const Case cases[] = {
        {"submit p --input x --key k-1 --timeout-ms 500", REPEAT(OK(DONE)), 0,
         "hello\n", "",
         "POST /v1/pipelines/p {\"input\":\"x\"} Eb-Timeout-Ms=500 "
         "Idempotency-Key=k-1\n"},
        {"submit p --input x --output json", REPEAT(OK(DONE)), 0, "hello", "",
         ""},
        {"submit p --input x",
         REPEAT(STATUS(429, "{\"outcome\":\"not-run\",\"title\":\"limit\"}")),
         5, "", "not-run: limit", ""},
        {"submit p --input x --output json",
         REPEAT(STATUS(502, "{\"outcome\":\"failed\"}")), 6, "failed", "", ""},
        {"submit p --input x --key k",
         REPEAT(STATUS(504, "{\"outcome\":\"unknown\"}")), 7, "", "same --key",
         ""},
        {"submit p --input x", REPEAT(STATUS(502, "<html>")), 7, "", "unknown",
         ""},
        {"submit p --input x", REPEAT(OK("{\"outcome\":\"done\"")), 7, "",
         "unknown", ""},
        {"submit p --input x", REPEAT(UNREACHABLE), 4, "", "nothing was sent",
         ""},
        {"submit p --input x", REPEAT(ANSWER_LOST), 7, "", "only if", ""},
        {"submit p --input x --stream",
         REPEAT(
             OK("event: token\ndata: {\"index\":0,\"text\":\"hel\\u001b\"}\n"
                "\nevent: outcome\ndata: " DONE "\n\n")),
         0, "hel?\n", "", "Accept=text/event-stream"},
        {"submit p --input x --stream --output json",
         REPEAT(OK("event: outcome\r\ndata: " DONE "\r\n\r\n")), 0, "hello",
         "", ""},
        {"submit p --input x --stream",
         REPEAT(OK("event: token\ndata: {\"text\":\"hel\"}\n\n")), 7, "hel\n",
         "unknown", ""},
    };
    run_cases(cases, TABLE_COUNT(cases));
}

/* Guards against misaligned columns, and against control characters that reach
 * the terminal. */
static void
test_table(void)
{
    static const EbOutputColumn columns[] = {{"NAME", "name"}, {"N", "n"}};
    json_t *rows = json_loads("[{\"name\":\"S\xC3\xA3o\",\"n\":1},"
                              "{\"name\":\"a\\u001b[1m\\nb\",\"n\":true},{}]",
                              0, NULL);
    char *text;
    size_t bytes;
    FILE *out = open_memstream(&text, &bytes);
    EbOutput_Table(out, rows, columns, TABLE_COUNT(columns));
    fclose(out);
    CU_ASSERT_STRING_EQUAL(text, "NAME     N\n"
                                 "S\xC3\xA3o      1\n"
                                 "a?[1m?b  yes\n"
                                 "-        -\n");
    free(text);
    json_decref(rows);
}

/* Guards against a change that is missed or reported at the wrong path. */
static void
test_difference(void)
{
    json_t *from =
        json_loads("{\"a\":1,\"b\":{\"c\":[1,2]},\"d\":[1]}", 0, NULL);
    json_t *to =
        json_loads("{\"b\":{\"c\":[1,3]},\"d\":[1,2],\"e\":null}", 0, NULL);
    json_t *changes = EbDifference_Compute(from, to);
    json_t *expected = json_loads(
        "[{\"change\":\"removed\",\"path\":\"$.a\",\"from\":1},"
        "{\"change\":\"changed\",\"path\":\"$.b.c[1]\",\"from\":2,\"to\":3},"
        "{\"change\":\"changed\",\"path\":\"$.d\",\"from\":[1],\"to\":[1,2]},"
        "{\"change\":\"added\",\"path\":\"$.e\",\"to\":null}]",
        0, NULL);
    CU_ASSERT_TRUE(json_equal(changes, expected));
    json_decref(expected);
    json_decref(changes);
    json_decref(to);
    json_decref(from);
}

/* Guards against a manual page that lacks a command or its summary, or an exit
 * code or its meaning. */
static void
test_manual(void)
{
    char *page;
    CU_ASSERT_TRUE_FATAL(g_file_get_contents(
        EB_SOURCE_DIRECTORY "/man/ebonyhollow.1", &page, NULL, NULL));
    for (size_t i = 0; i < EbCommand_count; i++) {
        const EbCommand *command = &EbCommand_table[i];
        char *name = g_strdup_printf(".B %s%s%s\n", command->group,
                                     command->name ? " " : "",
                                     command->name ? command->name : "");
        CU_ASSERT_PTR_NOT_NULL(strstr(page, name));
        CU_ASSERT_PTR_NOT_NULL(strstr(page, command->summary));
        g_free(name);
    }
    for (int i = 0; i < EB_EXIT_COUNT; i++) {
        char *entry = g_strdup_printf(".B %d\n%s\n", i, EbExit_meanings[i]);
        CU_ASSERT_PTR_NOT_NULL(strstr(page, entry));
        g_free(entry);
    }
    g_free(page);
}

/* Guards against a token digest that differs from the one in a configuration
 * for the same token. */
static void
test_digest(void)
{
    static const ScriptedResponse script[MAX_RESPONSES] = REPEAT(UNREACHABLE);
    RunResult run = run_command("digest", script, "demo-capas-on-call\n");
    char *example = NULL;
    g_file_get_contents(EXAMPLE, &example, NULL, NULL);
    g_strchomp(run.out);
    CU_ASSERT_EQUAL(run.code, 0);
    CU_ASSERT_EQUAL(strlen(run.out), 64);
    CU_ASSERT_PTR_NOT_NULL(strstr(example, run.out));
    g_free(example);
    clear_run(&run);
}

/* Answers with the Authorization header and the body of the request; /silent
 * gets no answer, /cut one that is shorter than its Content-Length. */
static void
serve(struct evhttp_request *request, void *context)
{
    (void)context;
    const char *uri = evhttp_request_get_uri(request);
    if (strcmp(uri, "/silent") == 0) {
        return;
    }
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    if (strcmp(uri, "/cut") == 0) {
        evhttp_add_header(headers, "Content-Length", "1000");
    }
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t count = evbuffer_get_length(input);
    struct evbuffer *reply = evbuffer_new();
    evbuffer_add_printf(
        reply, "%s %.*s",
        evhttp_find_header(evhttp_request_get_input_headers(request),
                           "Authorization"),
        (int)count, (const char *)evbuffer_pullup(input, -1));
    evhttp_add_header(evhttp_request_get_output_headers(request), "Eb-Outcome",
                      "done");
    evhttp_send_reply(request, 201, "Created", reply);
    evbuffer_free(reply);
}

/* Guards against an incomplete answer that is taken for a complete one, and
 * against a refused connection that is taken for a call that may have run. */
static void
test_client(void)
{
    static const struct {
        const char *path;
        EbHttpResult result;
        int status;
    } rows[] = {
        {"/echo", EB_HTTP_ANSWERED, 201},
        {"/cut", EB_HTTP_ANSWER_LOST, 0},
        {"/silent", EB_HTTP_ANSWER_LOST, 0},
    };
    struct event_base *base = event_base_new();
    struct evhttp *server = evhttp_new(base);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    evhttp_set_gencb(server, serve, NULL);
    struct sockaddr_in name;
    socklen_t size = sizeof(name);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&name,
                &size);
    char *address = g_strdup_printf("127.0.0.1:%u", ntohs(name.sin_port));
    EbHttpRequest request = {.address = address,
                             .method = "POST",
                             .token = "t",
                             .body = "{}",
                             .timeout_us = 300000};
    EbHttpResponse response;
    EbError error;
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        request.path = rows[i].path;
        CU_ASSERT_EQUAL(EbHttpClient_Call(base, &request, &response, &error),
                        rows[i].result);
        CU_ASSERT_EQUAL(response.status, rows[i].status);
        if (rows[i].status != 0) {
            CU_ASSERT_STRING_EQUAL(response.body->str, "Bearer t {}");
            CU_ASSERT_STRING_EQUAL(response.outcome, "done");
        }
        EbHttpResponse_Clear(&response);
    }
    evhttp_free(server);
    CU_ASSERT_EQUAL(EbHttpClient_Call(base, &request, &response, &error),
                    EB_HTTP_UNREACHABLE);
    EbHttpResponse_Clear(&response);
    event_base_free(base);
    g_free(address);
}

/* Guards against an address that is split wrongly, or accepted although it is
 * invalid. */
static void
test_address(void)
{
    static const struct {
        const char *address;
        const char *host; /* NULL: invalid */
        uint16_t port;
    } rows[] = {
        {"10.0.0.1:80", "10.0.0.1", 80},
        {"[::1]:65535", "::1", 65535},
        {"localhost:1", "localhost", 1},
        {"::1:80", NULL, 0},
        {"10.0.0.1", NULL, 0},
        {":80", NULL, 0},
        {"a:0", NULL, 0},
        {"a:65536", NULL, 0},
        {"a:8x", NULL, 0},
        {"a:-1", NULL, 0},
        {"[]:80", NULL, 0},
        {"a:", NULL, 0},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        char *host = NULL;
        uint16_t port = 0;
        bool split = EbHttpClient_SplitAddress(rows[i].address, &host, &port);
        CU_ASSERT_EQUAL(split, rows[i].host != NULL);
        CU_ASSERT_EQUAL(port, rows[i].port);
        CU_ASSERT_EQUAL(g_strcmp0(host, rows[i].host), 0);
        g_free(host);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"usage", test_usage},   {"administration", test_administration},
        {"config", test_config}, {"submit", test_submit},
        {"table", test_table},   {"difference", test_difference},
        {"manual", test_manual}, {"digest", test_digest},
        {"client", test_client}, {"address", test_address},
    };
    calls = g_string_new(NULL);
    signal(SIGPIPE, SIG_IGN); /* as in the command's main.c */
    setenv("EBONYHOLLOW_TOKEN", TOKEN, 1);
    int status = EbTest_Run("test_command", cases, TABLE_COUNT(cases));
    g_string_free(calls, TRUE);
    return status;
}
