/* EbCommand: the operators' command and its subcommands. */
#ifndef EB_COMMAND_H
#define EB_COMMAND_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>

#include "ebonyhollow/error.h"
#include "http_client.h"

/* Exit codes. They are part of the interface and listed in the manual page. */
typedef enum {
    EB_EXIT_DONE,
    EB_EXIT_FAILED,
    EB_EXIT_USAGE,
    EB_EXIT_CONFLICT,
    EB_EXIT_UNREACHABLE,
    EB_EXIT_NOT_RUN,
    EB_EXIT_OUTCOME_FAILED,
    EB_EXIT_UNKNOWN,
    EB_EXIT_COUNT
} EbExit;

/* Meaning of each EbExit, for --help. */
extern const char *const EbExit_meanings[EB_EXIT_COUNT];

#define EB_COMMAND_MAX_ARGUMENTS 4
#define EB_COMMAND_MAX_PEERS 64
#define EB_COMMAND_TOKEN_MAX_BYTES 4096

/* What `explain` asks about. */
typedef enum {
    EB_EXPLAIN_HOST,
    EB_EXPLAIN_PATH,
    EB_EXPLAIN_CUSTOMER,
    EB_EXPLAIN_TOKENS,
    EB_EXPLAIN_ITEMS,
    EB_EXPLAIN_PARTS,
    EB_EXPLAIN_COUNT
} EbExplainOption;

struct EbCommand;

/* One run of the command. The strings are borrowed from the argument vector,
 * except for `token`. */
typedef struct {
    const struct EbCommand *command;
    const char *arguments[EB_COMMAND_MAX_ARGUMENTS];
    int argument_count;
    const char *admin;
    const char *caller;
    const char *token_file; /* NULL: use EBONYHOLLOW_TOKEN */
    bool json;              /* --output json */
    int64_t timeout_us;     /* of each call, and of waiting */
    bool merged;
    bool wait;           /* drain --wait */
    uint32_t wait_count; /* config apply --wait; 0: don't wait */
    const char *peers[EB_COMMAND_MAX_PEERS];
    uint32_t peer_count;
    const char *id; /* requests --id */
    const char *input;
    const char *body_file;
    const char *key;
    bool stream;
    int64_t caller_timeout_ms; /* --timeout-ms; 0: the pipeline's deadline */
    const char *explain[EB_EXPLAIN_COUNT]; /* NULL: not given */
    bool help;
    bool version;
    char *token; /* NULL until it is read; wiped at the end */
    FILE *in;
    FILE *out;
    FILE *err;
    /* The next three are replaced by tests. */
    EbHttpResult (*http_call)(struct event_base *base,
                              const EbHttpRequest *request,
                              EbHttpResponse *response, EbError *error);
    void (*sleep_ms)(uint32_t ms);
    int64_t (*now_us)(void); /* monotonic clock */
    struct event_base *base;
} EbInvocation;

/* A subcommand, named by one or two words. */
typedef struct EbCommand {
    const char *group; /* first word */
    const char *name;  /* second word, or NULL */
    const char *usage; /* arguments and options, for --help */
    int min_arguments;
    int max_arguments;
    unsigned options; /* EB_OPTION_ flags of the options that it accepts */
    EbExit (*run)(EbInvocation *invocation);
    const char *summary; /* for --help and the manual page */
} EbCommand;

/* Options that only some commands accept. */
#define EB_OPTION_MERGED 1U
#define EB_OPTION_WAIT_COUNT 2U /* --wait N and --peer */
#define EB_OPTION_ID 4U
#define EB_OPTION_WAIT 8U     /* --wait without an argument */
#define EB_OPTION_SUBMIT 16U  /* the options of submit */
#define EB_OPTION_EXPLAIN 32U /* the options of explain */

extern const EbCommand EbCommand_table[];
extern const size_t EbCommand_count;

/* Parses the arguments into `invocation`, whose streams the caller has set.
 *
 * Returns false after printing a message on the error stream. */
bool EbCommand_Parse(int argc, char **argv, EbInvocation *invocation);

/* Parses the arguments and runs the command.
 *
 * invocation: its streams, functions and event loop are set by the caller.
 *
 * Returns the exit code of the process, an EbExit. */
int EbCommand_Main(int argc, char **argv, EbInvocation *invocation);

/* Prints the text of --help. */
void EbCommand_PrintHelp(FILE *out);

/* Reads the token from --token-file or EBONYHOLLOW_TOKEN, unless it was read
 * before.
 *
 * Returns false after printing a message. */
bool EbCommand_ReadToken(EbInvocation *invocation);

/* The subcommands. Each prints its result or a message and returns the exit
 * code. */
EbExit EbCommand_ConfigCheck(EbInvocation *invocation);
EbExit EbCommand_ConfigShow(EbInvocation *invocation);
EbExit EbCommand_ConfigDiff(EbInvocation *invocation);
EbExit EbCommand_ConfigApply(EbInvocation *invocation);
EbExit EbCommand_ConfigHistory(EbInvocation *invocation);
EbExit EbCommand_Status(EbInvocation *invocation);
EbExit EbCommand_Servers(EbInvocation *invocation);
EbExit EbCommand_Peers(EbInvocation *invocation);
EbExit EbCommand_Customers(EbInvocation *invocation);
EbExit EbCommand_Requests(EbInvocation *invocation);
EbExit EbCommand_Explain(EbInvocation *invocation);
EbExit EbCommand_QuarantineList(EbInvocation *invocation);
EbExit EbCommand_QuarantineRelease(EbInvocation *invocation);
EbExit EbCommand_Drain(EbInvocation *invocation);
EbExit EbCommand_Outcome(EbInvocation *invocation);
EbExit EbCommand_Submit(EbInvocation *invocation);
EbExit EbCommand_Digest(EbInvocation *invocation);
EbExit EbCommand_SettingsCheck(EbInvocation *invocation);

#endif
