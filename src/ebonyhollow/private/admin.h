/* EbAdmin: calls of the administration API (docs/api.md). */
#ifndef EB_ADMIN_H
#define EB_ADMIN_H

#include "command.h"

/* Calls the API at `address` (NULL: --admin) without printing anything.
 *
 * answer: set to the JSON answer of a 2xx status, or NULL.
 * lost: set when the call was sent and may have taken effect; may be NULL.
 * error: set when the result is not EB_EXIT_DONE.
 * status: set to the HTTP status, 0 when there was none; may be NULL.
 *
 * Returns EB_EXIT_DONE or the exit code that the failure stands for. */
EbExit EbAdmin_Request(EbInvocation *invocation, const char *address,
                       const char *method, const char *path, const char *body,
                       json_t **answer, int *status, bool *lost,
                       EbError *error);

/* As EbAdmin_Request at --admin, and prints the failure with what to do next.
 */
EbExit EbAdmin_Call(EbInvocation *invocation, const char *method,
                    const char *path, const char *body, json_t **answer);

/* What to do after a failure with this status. */
const char *EbAdmin_FailureHint(EbExit code, int status);

/* Returns the array `name` of an answer, or the answer if it is an array
 * itself; NULL when there is none. Borrowed. */
json_t *EbAdmin_FindArray(json_t *answer, const char *name);

#endif
