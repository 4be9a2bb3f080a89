/* ebonyhollowd: the daemon between callers and backend servers. */
#include <getopt.h>
#include <malloc.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>
#include <sys/stat.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/daemon.h"
#include "ebonyhollow/file.h"
#include "ebonyhollow/log.h"
#include "ebonyhollow/settings.h"
#include "platform.h"

/* Holds the longest text that EbError_Format writes: file, position, path and
 * message. */
#define ERROR_TEXT_BYTES 1100
/* Larger blocks, such as the bodies of requests, are returned to the system
 * when they are freed. By default glibc raises the threshold with the largest
 * block freed and then keeps such memory in fragments. */
#define MMAP_THRESHOLD_BYTES 524288
#define MAX_TOKEN_BYTES 4096

typedef struct {
    const char *settings_path;
    const char *viewer_token_path; /* NULL: none */
    bool platform;
    const char *log_level;
    bool check_only;
    bool version;
    bool help;
} Arguments;

static const struct option long_options[] = {
    {"config", required_argument, NULL, 'c'},
    {"platform", no_argument, NULL, 'p'},
    {"viewer-token-file", required_argument, NULL, 't'},
    {"check", no_argument, NULL, 'k'},
    {"log-level", required_argument, NULL, 'l'},
    {"version", no_argument, NULL, 'v'},
    {"help", no_argument, NULL, 'h'},
    {NULL, 0, NULL, 0},
};

static const char usage[] =
    "Usage: ebonyhollowd --config FILE [--check] [--log-level LEVEL]\n"
    "       ebonyhollowd --platform [--viewer-token-file FILE] [--check]\n"
    "                    [--log-level LEVEL]\n"
    "       ebonyhollowd --version | --help\n"
    "\n"
    "  --config FILE      read the settings of this process from a JSON file\n"
    "  --platform         run on the users' platform, with the settings file\n"
    "                     named by " EB_PLATFORM_FILE_VARIABLE "\n"
    "  --viewer-token-file FILE\n"
    "                     a token with which operators may look, where the\n"
    "                     configuration names none\n"
    "  --check            check the settings and exit\n"
    "  --log-level LEVEL  error, warning, notice, info or debug; overrides\n"
    "                     the settings\n"
    "  --version          print the version and exit\n"
    "  --help             print this text and exit\n"
    "\n"
    "SIGHUP reads the settings again; a log line says which need a restart.\n"
    "SIGTERM or SIGINT starts a graceful shutdown. A second signal ends the\n"
    "requests that still run.\n"
    "\n"
    "Exit status:\n"
    "  0  every request was finished, or the settings are valid\n"
    "  1  the daemon could not start\n"
    "  2  wrong command line or settings\n"
    "  3  requests were ended before they were finished\n";

static bool
parse_arguments(int argc, char **argv, Arguments *arguments)
{
    int option;
    while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
        switch (option) {
        case 'c':
            arguments->settings_path = optarg;
            break;
        case 'p':
            arguments->platform = true;
            break;
        case 't':
            arguments->viewer_token_path = optarg;
            break;
        case 'k':
            arguments->check_only = true;
            break;
        case 'l':
            arguments->log_level = optarg;
            break;
        case 'v':
            arguments->version = true;
            break;
        case 'h':
            arguments->help = true;
            break;
        default:
            return false;
        }
    }
    if (optind < argc) {
        fprintf(stderr, "ebonyhollowd: unexpected argument '%s'\n",
                argv[optind]);
        return false;
    }
    if (arguments->platform) {
        arguments->settings_path = getenv(EB_PLATFORM_FILE_VARIABLE);
        if (arguments->settings_path == NULL) {
            fprintf(stderr, "ebonyhollowd: %s is not set\n",
                    EB_PLATFORM_FILE_VARIABLE);
            return false;
        }
    }
    if (arguments->log_level != NULL &&
        EbLevel_Parse(arguments->log_level) == EB_LEVEL_COUNT) {
        fprintf(stderr, "ebonyhollowd: unknown log level '%s'\n",
                arguments->log_level);
        return false;
    }
    if (arguments->settings_path == NULL && !arguments->version &&
        !arguments->help) {
        fprintf(stderr, "ebonyhollowd: --config or --platform is required\n");
        return false;
    }
    return true;
}

static void
print_error(const EbError *error)
{
    char text[ERROR_TEXT_BYTES];
    EbError_Format(error, text, sizeof(text));
    fprintf(stderr, "ebonyhollowd: %s\n", text);
}

/* Reads a token like the operators' command, without the white space around
 * it. Returns false with `error` set if there is none. */
static bool
load_viewer_token(const char *path, EbSettings *settings, EbError *error)
{
    size_t bytes = 0;
    char *token = EbFile_Read(path, MAX_TOKEN_BYTES, &bytes, error);
    if (token == NULL) {
        return false;
    }
    g_strstrip(token);
    bool given = token[0] != '\0';
    if (given) {
        EbConfig_DigestToken(token, settings->viewer_token_digest);
    }
    else {
        EbError_Set(error, EB_ERROR_IO, "%s contains no token", path);
    }
    sodium_memzero(token, bytes);
    g_free(token);
    return given;
}

/* Reads the settings file, at the start and for a reload. The level of the
 * command line overrides the file's each time. */
static EbSettings *
load_settings(void *context, EbError *error)
{
    const Arguments *arguments = context;
    EbSettings *settings =
        arguments->platform
            ? EbPlatform_LoadSettings(arguments->settings_path, error)
            : EbSettings_Load(arguments->settings_path, error);
    if (settings != NULL && arguments->log_level != NULL) {
        settings->log_level = EbLevel_Parse(arguments->log_level);
    }
    if (settings != NULL && arguments->viewer_token_path != NULL &&
        !load_viewer_token(arguments->viewer_token_path, settings, error)) {
        EbSettings_Free(settings);
        return NULL;
    }
    return settings;
}

/* A pipe can be read only once: opening it again would wait for a writer. */
static EbSettings *
reload_settings(void *context, EbError *error)
{
    const Arguments *arguments = context;
    struct stat status;
    if (stat(arguments->settings_path, &status) == 0 &&
        !S_ISREG(status.st_mode)) {
        EbError_Set(error, EB_ERROR_IO, "%s is not a regular file",
                    arguments->settings_path);
        return NULL;
    }
    return load_settings(context, error);
}

static EbExitStatus
serve(EbSettings *settings, Arguments *arguments)
{
    const EbPlatformAdapter *adapter =
        arguments->platform ? &EbPlatform_adapter : NULL;
    EbError error = {0};
    EbDaemon *daemon = EbDaemon_New(settings, adapter, &error);
    if (daemon == NULL) {
        print_error(&error);
        return EB_EXIT_FAILURE;
    }
    EbDaemon_SetReload(daemon, &(EbDaemonReload){.settings = settings,
                                                 .load = reload_settings,
                                                 .context = arguments});
    EbExitStatus status = EbDaemon_Run(daemon);
    EbDaemon_Free(daemon);
    return status;
}

int
main(int argc, char **argv)
{
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
    EbDaemon_BlockSignals();
    Arguments arguments = {0};
    if (!parse_arguments(argc, argv, &arguments)) {
        fputs(usage, stderr);
        return EB_EXIT_USAGE;
    }
    if (arguments.help) {
        fputs(usage, stdout);
        return EB_EXIT_OK;
    }
    if (arguments.version) {
        puts("ebonyhollowd " EB_DAEMON_VERSION);
        return EB_EXIT_OK;
    }
    EbError error = {0};
    EbSettings *settings = load_settings(&arguments, &error);
    if (settings == NULL) {
        print_error(&error);
        return EB_EXIT_USAGE;
    }
    EbExitStatus status = EB_EXIT_OK;
    if (arguments.check_only) {
        printf("%s: valid\n", arguments.settings_path);
    }
    else {
        status = serve(settings, &arguments);
    }
    EbSettings_Free(settings);
    return status;
}
