#include <string.h>

#include "admin.h"
#include "ebonyhollow/settings.h"
#include "output.h"

#define POLL_MS 500

static void
report(EbInvocation *invocation, const char *field, const char *value,
       const char *sentence)
{
    if (invocation->json) {
        json_t *document = json_pack("{s:s}", field, value);
        EbOutput_Json(invocation->out, document, 0);
        json_decref(document);
    }
    else {
        fprintf(invocation->out, "%s\n", sentence);
    }
}

EbExit
EbCommand_QuarantineRelease(EbInvocation *invocation)
{
    const char *fingerprint = invocation->arguments[0];
    if (!EbSchema_IsName(fingerprint)) {
        return EbOutput_Fail(invocation, EB_EXIT_USAGE, EB_ERROR_USAGE,
                             "take it from 'ebonyhollow quarantine'",
                             "this is no fingerprint");
    }
    char *path = g_strdup_printf("/v1/quarantine/%s", fingerprint);
    json_t *answer;
    EbExit code = EbAdmin_Call(invocation, "DELETE", path, NULL, &answer);
    g_free(path);
    json_decref(answer);
    if (code == EB_EXIT_DONE) {
        report(invocation, "released", fingerprint,
               "the fingerprint is released");
    }
    return code;
}

/* Waits until the daemon has exited, which is when it can't be reached any
 * more. */
static EbExit
wait_for_exit(EbInvocation *invocation)
{
    int64_t end_us = invocation->now_us() + invocation->timeout_us;
    json_int_t live = -1;
    while (invocation->now_us() < end_us) {
        json_t *answer;
        EbError error;
        bool lost;
        EbExit code = EbAdmin_Request(invocation, NULL, "GET", "/v1/status",
                                      NULL, &answer, NULL, &lost, &error);
        json_t *count = json_object_get(answer, "live_requests");
        if (json_is_integer(count)) {
            live = json_integer_value(count);
        }
        json_decref(answer);
        if (code == EB_EXIT_UNREACHABLE && !lost) {
            report(invocation, "drain", "finished", "the daemon has exited");
            return EB_EXIT_DONE;
        }
        invocation->sleep_ms(POLL_MS);
    }
    return EbOutput_Fail(invocation, EB_EXIT_FAILED, EB_ERROR_UNAVAILABLE,
                         "the drain goes on; wait with a longer --timeout, or "
                         "see 'ebonyhollow status'",
                         "the daemon has not exited within the time limit, "
                         "live requests: %" JSON_INTEGER_FORMAT,
                         live);
}

EbExit
EbCommand_Drain(EbInvocation *invocation)
{
    json_t *answer;
    EbExit code = EbAdmin_Call(invocation, "POST", "/v1/drain", "{}", &answer);
    json_decref(answer);
    if (code != EB_EXIT_DONE) {
        return code;
    }
    if (invocation->wait) {
        return wait_for_exit(invocation);
    }
    report(invocation, "drain", "started", "the daemon is draining");
    return EB_EXIT_DONE;
}

EbExit
EbCommand_SettingsCheck(EbInvocation *invocation)
{
    EbError error;
    EbSettings *settings = EbSettings_Load(invocation->arguments[0], &error);
    if (settings == NULL) {
        return EbOutput_Error(invocation, EB_EXIT_USAGE, &error,
                              "correct the file; docs/configuration.md and "
                              "ebonyhollow-config(5) list the fields");
    }
    json_t *summary = json_pack("{s:b, s:s, s:s, s:s}", "valid", 1, "instance",
                                settings->instance, "site", settings->site,
                                "failure_domain", settings->failure_domain);
    if (invocation->json) {
        EbOutput_Json(invocation->out, summary, 0);
    }
    else {
        EbOutput_Pairs(invocation->out, summary);
    }
    json_decref(summary);
    EbSettings_Free(settings);
    return EB_EXIT_DONE;
}
