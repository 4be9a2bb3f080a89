/* EbServerDirective: what a backend server asks of its callers in the head of
 * an answer. */
#ifndef EBONYHOLLOW_SERVER_DIRECTIVE_H
#define EBONYHOLLOW_SERVER_DIRECTIVE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    bool leaving;   /* send no further calls */
    bool has_limit; /* `requests_per_s_milli` is valid */
    /* Thousandths of a request that it takes each second from all daemons
     * together, until it answers without a limit. */
    uint32_t requests_per_s_milli;
    /* From now on, during which it takes no call from this daemon; 0: none.
     * Only in an answer that rejects the call as the server is overloaded. */
    int64_t retry_after_us;
} EbServerDirective;

/* Reads a limit, a decimal number of requests a second. Text that is not one
 * is ignored. Accepts NULL. */
void EbServerDirective_ReadLimit(EbServerDirective *directive,
                                 const char *text);

/* Reads the header Retry-After (RFC 9110, 10.2.3) of an answer with status 429
 * or 503, in seconds and fractions of them. Other answers and dates are
 * ignored. Accepts NULL. */
void EbServerDirective_ReadRetryAfter(EbServerDirective *directive,
                                      uint16_t status, const char *text);

#endif
