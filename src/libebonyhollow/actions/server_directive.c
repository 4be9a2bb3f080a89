#include "ebonyhollow/server_directive.h"

#include <math.h>

#include <glib.h>

/* Larger numbers count as this one. */
#define MAX_LIMIT_PER_S 1e6
#define MAX_RETRY_AFTER_S 86400.0

/* Reads a number that is not negative. Returns false for any other text. */
static bool
read_decimal(const char *text, double *number)
{
    if (text == NULL || !g_ascii_isdigit(text[0])) {
        return false;
    }
    char *end = NULL;
    *number = g_ascii_strtod(text, &end);
    return *end == '\0' && isfinite(*number);
}

void
EbServerDirective_ReadLimit(EbServerDirective *directive, const char *text)
{
    double requests_per_s = 0;
    if (read_decimal(text, &requests_per_s)) {
        directive->has_limit = true;
        directive->requests_per_s_milli =
            (uint32_t)(fmin(requests_per_s, MAX_LIMIT_PER_S) * 1000);
    }
}

void
EbServerDirective_ReadRetryAfter(EbServerDirective *directive, uint16_t status,
                                 const char *text)
{
    double seconds = 0;
    if ((status == 429 || status == 503) && read_decimal(text, &seconds)) {
        directive->retry_after_us =
            (int64_t)(fmin(seconds, MAX_RETRY_AFTER_S) * G_USEC_PER_SEC);
    }
}
