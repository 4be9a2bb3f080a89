#include "command.h"

#include <getopt.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "output.h"

#define DEFAULT_ADMIN "127.0.0.1:8081"
#define DEFAULT_CALLER "127.0.0.1:8080"
/* Longer than the usual deadline of a pipeline, 11 s. */
#define DEFAULT_TIMEOUT_S 15
#define MAX_TIMEOUT_S 3600

const char *const EbExit_meanings[EB_EXIT_COUNT] = {
    [EB_EXIT_DONE] = "done",
    [EB_EXIT_FAILED] = "the operation failed; standard error says what to do",
    [EB_EXIT_USAGE] = "wrong usage or invalid input",
    [EB_EXIT_CONFLICT] = "conflict: another change was applied first",
    [EB_EXIT_UNREACHABLE] = "the daemon could not be reached",
    [EB_EXIT_NOT_RUN] = "outcome not-run",
    [EB_EXIT_OUTCOME_FAILED] = "outcome failed",
    [EB_EXIT_UNKNOWN] = "outcome unknown",
};

const EbCommand EbCommand_table[] = {
    {"config", "check", "FILE", 1, 1, 0, EbCommand_ConfigCheck,
     "validate a configuration document, without a daemon"},
    {"config", "show", "[--merged]", 0, 0, EB_OPTION_MERGED,
     EbCommand_ConfigShow, "print the configuration in force"},
    {"config", "diff", "FILE", 1, 1, 0, EbCommand_ConfigDiff,
     "compare a document with the configuration in force"},
    {"config", "apply", "FILE [--wait N [--peer HOST:PORT]...]", 1, 1,
     EB_OPTION_WAIT_COUNT, EbCommand_ConfigApply,
     "apply a configuration document"},
    {"config", "history", "", 0, 0, 0, EbCommand_ConfigHistory,
     "list the generations that the daemon has seen"},
    {"status", NULL, "", 0, 0, 0, EbCommand_Status, "show the daemon's state"},
    {"servers", NULL, "", 0, 0, 0, EbCommand_Servers, "list backend servers"},
    {"peers", NULL, "", 0, 0, 0, EbCommand_Peers, "list daemons"},
    {"customers", NULL, "", 0, 0, 0, EbCommand_Customers,
     "list customers, contracts and shares"},
    {"requests", NULL, "[--id ID]", 0, 0, EB_OPTION_ID, EbCommand_Requests,
     "list live and recent requests, or show one with its trace"},
    {"explain", NULL,
     "--host HOST --path PATH [--customer ID] [--tokens IN,OUT] "
     "[--items N,...] [--parts ID,...] [--json]",
     0, 0, EB_OPTION_EXPLAIN, EbCommand_Explain,
     "show where a request would go now and why, without sending it"},
    {"quarantine", "list", "", 0, 0, 0, EbCommand_QuarantineList,
     "list suspected and quarantined fingerprints"},
    {"quarantine", "release", "FINGERPRINT", 1, 1, 0,
     EbCommand_QuarantineRelease, "release a fingerprint on every daemon"},
    {"quarantine", NULL, "", 0, 0, 0, EbCommand_QuarantineList,
     "the same as quarantine list"},
    {"drain", NULL, "[--wait]", 0, 0, EB_OPTION_WAIT, EbCommand_Drain,
     "shut the daemon down gracefully"},
    {"outcome", NULL, "CUSTOMER KEY", 2, 2, 0, EbCommand_Outcome,
     "show what the ledger records for a key"},
    {"submit", NULL,
     "PIPELINE [--input TEXT | --body FILE] [--key KEY] [--stream] "
     "[--timeout-ms N]",
     1, 1, EB_OPTION_SUBMIT, EbCommand_Submit, "send a request as a customer"},
    {"digest", NULL, "", 0, 0, 0, EbCommand_Digest,
     "read a token from standard input and print its digest"},
    {"settings", "check", "FILE", 1, 1, 0, EbCommand_SettingsCheck,
     "validate a settings file, without a daemon"},
};

const size_t EbCommand_count = G_N_ELEMENTS(EbCommand_table);

enum {
    OPTION_ADMIN = 256,
    OPTION_CALLER,
    OPTION_TOKEN_FILE,
    OPTION_OUTPUT,
    OPTION_TIMEOUT,
    OPTION_VERSION,
    OPTION_HELP,
    OPTION_MERGED,
    OPTION_WAIT_COUNT,
    OPTION_PEER,
    OPTION_ID,
    OPTION_WAIT,
    OPTION_INPUT,
    OPTION_BODY,
    OPTION_KEY,
    OPTION_STREAM,
    OPTION_TIMEOUT_MS,
    OPTION_JSON,
    /* The options of explain, in the order of EbExplainOption. */
    OPTION_EXPLAIN
};

static const struct {
    struct option option;
    unsigned command_options; /* 0: accepted by every command */
} options[] = {
    {{"admin", required_argument, NULL, OPTION_ADMIN}, 0},
    {{"caller", required_argument, NULL, OPTION_CALLER}, 0},
    {{"token-file", required_argument, NULL, OPTION_TOKEN_FILE}, 0},
    {{"output", required_argument, NULL, OPTION_OUTPUT}, 0},
    {{"timeout", required_argument, NULL, OPTION_TIMEOUT}, 0},
    {{"version", no_argument, NULL, OPTION_VERSION}, 0},
    {{"help", no_argument, NULL, OPTION_HELP}, 0},
    {{"merged", no_argument, NULL, OPTION_MERGED}, EB_OPTION_MERGED},
    {{"wait", required_argument, NULL, OPTION_WAIT_COUNT},
     EB_OPTION_WAIT_COUNT},
    {{"peer", required_argument, NULL, OPTION_PEER}, EB_OPTION_WAIT_COUNT},
    {{"id", required_argument, NULL, OPTION_ID}, EB_OPTION_ID},
    {{"wait", no_argument, NULL, OPTION_WAIT}, EB_OPTION_WAIT},
    {{"input", required_argument, NULL, OPTION_INPUT}, EB_OPTION_SUBMIT},
    {{"body", required_argument, NULL, OPTION_BODY}, EB_OPTION_SUBMIT},
    {{"key", required_argument, NULL, OPTION_KEY}, EB_OPTION_SUBMIT},
    {{"stream", no_argument, NULL, OPTION_STREAM}, EB_OPTION_SUBMIT},
    {{"timeout-ms", required_argument, NULL, OPTION_TIMEOUT_MS},
     EB_OPTION_SUBMIT},
    {{"json", no_argument, NULL, OPTION_JSON}, EB_OPTION_EXPLAIN},
    {{"host", required_argument, NULL, OPTION_EXPLAIN + EB_EXPLAIN_HOST},
     EB_OPTION_EXPLAIN},
    {{"path", required_argument, NULL, OPTION_EXPLAIN + EB_EXPLAIN_PATH},
     EB_OPTION_EXPLAIN},
    {{"customer", required_argument, NULL,
      OPTION_EXPLAIN + EB_EXPLAIN_CUSTOMER},
     EB_OPTION_EXPLAIN},
    {{"tokens", required_argument, NULL, OPTION_EXPLAIN + EB_EXPLAIN_TOKENS},
     EB_OPTION_EXPLAIN},
    {{"items", required_argument, NULL, OPTION_EXPLAIN + EB_EXPLAIN_ITEMS},
     EB_OPTION_EXPLAIN},
    {{"parts", required_argument, NULL, OPTION_EXPLAIN + EB_EXPLAIN_PARTS},
     EB_OPTION_EXPLAIN},
};

void
EbCommand_PrintHelp(FILE *out)
{
    fputs("usage: ebonyhollow [OPTION]... COMMAND [ARGUMENT]...\n\n"
          "Administers ebonyhollowd.\n\nCommands:\n",
          out);
    for (size_t i = 0; i < EbCommand_count; i++) {
        const EbCommand *command = &EbCommand_table[i];
        fprintf(out, "  %s%s%s%s%s\n      %s\n", command->group,
                command->name ? " " : "", command->name ? command->name : "",
                command->usage[0] ? " " : "", command->usage,
                command->summary);
    }
    fputs("\nOptions:\n"
          "  --admin HOST:PORT     administration listener (" DEFAULT_ADMIN
          ")\n"
          "  --caller HOST:PORT    caller listener (" DEFAULT_CALLER ")\n"
          "  --token-file FILE     file with the token; without it, the\n"
          "                        environment variable EBONYHOLLOW_TOKEN\n"
          "  --output table|json   table for people (default), JSON for "
          "programs\n"
          "  --timeout SECONDS     time limit of a call and of waiting (15)\n"
          "  --version             print the version\n"
          "  --help                print this text\n"
          "\nExit codes:\n",
          out);
    for (int i = 0; i < EB_EXIT_COUNT; i++) {
        fprintf(out, "  %d  %s\n", i, EbExit_meanings[i]);
    }
}

static bool
parse_number(EbInvocation *invocation, const char *name, const char *text,
             int64_t min, int64_t max, int64_t *number)
{
    char *end;
    *number = g_ascii_strtoll(text, &end, 10);
    if (*end != '\0' || end == text || *number < min || *number > max) {
        fprintf(invocation->err,
                "ebonyhollow: --%s takes a number from %" G_GINT64_FORMAT
                " to %" G_GINT64_FORMAT "\n",
                name, min, max);
        return false;
    }
    return true;
}

static bool
set_output(EbInvocation *invocation, const char *text)
{
    invocation->json = strcmp(text, "json") == 0;
    if (!invocation->json && strcmp(text, "table") != 0) {
        fputs("ebonyhollow: --output takes table or json\n", invocation->err);
        return false;
    }
    return true;
}

static bool
add_peer(EbInvocation *invocation, const char *address)
{
    if (invocation->peer_count >= EB_COMMAND_MAX_PEERS) {
        fprintf(invocation->err, "ebonyhollow: at most %d --peer options\n",
                EB_COMMAND_MAX_PEERS);
        return false;
    }
    invocation->peers[invocation->peer_count++] = address;
    return true;
}

/* Sets an option whose argument has to be valid. Returns false after printing
 * a message. */
static bool
set_checked_option(EbInvocation *invocation, int option, const char *argument)
{
    int64_t number = 0;
    switch (option) {
    case OPTION_OUTPUT:
        return set_output(invocation, argument);
    case OPTION_PEER:
        return add_peer(invocation, argument);
    case OPTION_TIMEOUT:
        if (!parse_number(invocation, "timeout", argument, 1, MAX_TIMEOUT_S,
                          &number)) {
            return false;
        }
        invocation->timeout_us = number * 1000000;
        return true;
    case OPTION_WAIT_COUNT:
        if (!parse_number(invocation, "wait", argument, 1,
                          EB_COMMAND_MAX_PEERS + 1, &number)) {
            return false;
        }
        invocation->wait_count = (uint32_t)number;
        return true;
    case OPTION_TIMEOUT_MS:
        return parse_number(invocation, "timeout-ms", argument, 1,
                            MAX_TIMEOUT_S * INT64_C(1000),
                            &invocation->caller_timeout_ms);
    default:
        return false;
    }
}

static bool
set_option(EbInvocation *invocation, int option, const char *argument)
{
    switch (option) {
    case OPTION_ADMIN:
        invocation->admin = argument;
        return true;
    case OPTION_CALLER:
        invocation->caller = argument;
        return true;
    case OPTION_TOKEN_FILE:
        invocation->token_file = argument;
        return true;
    case OPTION_VERSION:
        invocation->version = true;
        return true;
    case OPTION_HELP:
        invocation->help = true;
        return true;
    case OPTION_MERGED:
        invocation->merged = true;
        return true;
    case OPTION_ID:
        invocation->id = argument;
        return true;
    case OPTION_WAIT:
        invocation->wait = true;
        return true;
    case OPTION_INPUT:
        invocation->input = argument;
        return true;
    case OPTION_BODY:
        invocation->body_file = argument;
        return true;
    case OPTION_KEY:
        invocation->key = argument;
        return true;
    case OPTION_STREAM:
        invocation->stream = true;
        return true;
    case OPTION_JSON:
        invocation->json = true;
        return true;
    default:
        if (option >= OPTION_EXPLAIN) {
            invocation->explain[option - OPTION_EXPLAIN] = argument;
            return true;
        }
        return set_checked_option(invocation, option, argument);
    }
}

/* Runs getopt on the arguments after argv[start], with the options that the
 * command accepts, and leaves optind at the first word that is not an option.
 *
 * short_options: as of getopt; "+" stops at the first word that is not an
 *     option.
 *
 * Returns false after printing a message. */
static bool
parse_options(EbInvocation *invocation, int argc, char **argv, int start,
              const char *short_options, unsigned command_options)
{
    struct option allowed[G_N_ELEMENTS(options) + 1];
    size_t count = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
        if (options[i].command_options == 0 ||
            (options[i].command_options & command_options) != 0) {
            allowed[count++] = options[i].option;
        }
    }
    allowed[count] = (struct option){0};
    optind = 0; /* restarts glibc's getopt */
    opterr = 0;
    char **remaining = argv + start;
    int option;
    while ((option = getopt_long(argc - start, remaining, short_options,
                                 allowed, NULL)) != -1) {
        if (option == '?') {
            fprintf(invocation->err,
                    "ebonyhollow: unknown option or missing argument: %s\n",
                    remaining[optind - 1]);
            return false;
        }
        if (!set_option(invocation, option, optarg)) {
            return false;
        }
    }
    optind += start;
    return true;
}

/* Finds the command that the words name. A two-word name takes precedence over
 * a one-word name.
 *
 * name_word_count: set to the number of words of the name.
 *
 * Returns NULL for an unknown command. */
static const EbCommand *
find_command(int count, char **words, int *name_word_count)
{
    const EbCommand *one_word = NULL;
    for (size_t i = 0; i < EbCommand_count; i++) {
        const EbCommand *command = &EbCommand_table[i];
        if (count < 1 || strcmp(command->group, words[0]) != 0) {
            continue;
        }
        if (command->name == NULL) {
            one_word = command;
        }
        else if (count > 1 && strcmp(command->name, words[1]) == 0) {
            *name_word_count = 2;
            return command;
        }
    }
    *name_word_count = 1;
    return one_word;
}

static bool
usage_error(EbInvocation *invocation, const char *message)
{
    fprintf(invocation->err,
            "ebonyhollow: %s\nnext: see 'ebonyhollow --help'\n", message);
    return false;
}

static bool
set_arguments(EbInvocation *invocation, int count, char **arguments)
{
    const EbCommand *command = invocation->command;
    if (count < command->min_arguments || count > command->max_arguments) {
        char *message = g_strdup_printf(
            "usage: ebonyhollow %s%s%s %s", command->group,
            command->name ? " " : "", command->name ? command->name : "",
            command->usage);
        usage_error(invocation, message);
        g_free(message);
        return false;
    }
    for (int i = 0; i < count; i++) {
        invocation->arguments[i] = arguments[i];
    }
    invocation->argument_count = count;
    return true;
}

bool
EbCommand_Parse(int argc, char **argv, EbInvocation *invocation)
{
    invocation->admin = DEFAULT_ADMIN;
    invocation->caller = DEFAULT_CALLER;
    invocation->timeout_us = INT64_C(1000000) * DEFAULT_TIMEOUT_S;
    if (!parse_options(invocation, argc, argv, 0, "+", 0)) {
        return usage_error(invocation, "invalid option");
    }
    if (invocation->help || invocation->version) {
        return true;
    }
    int first = optind;
    int name_word_count = 0;
    invocation->command =
        find_command(argc - first, argv + first, &name_word_count);
    if (invocation->command == NULL) {
        return usage_error(invocation, first < argc ? "unknown command"
                                                    : "no command was given");
    }
    /* getopt skips the first element, here the last word of the command's
     * name. */
    if (!parse_options(invocation, argc, argv, first + name_word_count - 1, "",
                       invocation->command->options)) {
        return usage_error(invocation, "invalid option");
    }
    if (invocation->help || invocation->version) {
        return true;
    }
    return set_arguments(invocation, argc - optind, argv + optind);
}

int
EbCommand_Main(int argc, char **argv, EbInvocation *invocation)
{
    if (!EbCommand_Parse(argc, argv, invocation)) {
        return EB_EXIT_USAGE;
    }
    if (invocation->help) {
        EbCommand_PrintHelp(invocation->out);
        return EB_EXIT_DONE;
    }
    if (invocation->version) {
        fputs("ebonyhollow " EB_VERSION "\n", invocation->out);
        return EB_EXIT_DONE;
    }
    EbExit code = invocation->command->run(invocation);
    if (invocation->token != NULL) {
        sodium_memzero(invocation->token, strlen(invocation->token));
        g_free(invocation->token);
        invocation->token = NULL;
    }
    if (fflush(invocation->out) != 0 || ferror(invocation->out)) {
        fputs("ebonyhollow: cannot write the output\n", invocation->err);
        return code == EB_EXIT_DONE ? EB_EXIT_FAILED : (int)code;
    }
    return (int)code;
}
