/* EbAdmin: calls of the administration API (docs/api.md). */
#ifndef EB_ADMIN_H
#define EB_ADMIN_H

#include "command.h"

/* Calls the API and prints nothing.
 *
 * address: HOST:PORT; NULL: that of --admin.
 * body: JSON text, or NULL.
 * answer: set to the JSON answer of a 2xx status, an empty object if the
 *     body is empty, or NULL; the caller releases it.
 * status: set to the HTTP status, 0 without a complete answer; may be NULL.
 * answer_lost: set to whether the call was sent but its answer did not
 *     arrive, so that it may have taken effect; may be NULL.
 * error: set when the result is not EB_EXIT_DONE.
 *
 * Returns EB_EXIT_DONE, or the exit code for the failure. */
EbExit EbAdmin_Request(EbInvocation *invocation, const char *address,
                       const char *method, const char *path, const char *body,
                       json_t **answer, int *status, bool *answer_lost,
                       EbError *error);

/* As EbAdmin_Request with the address of --admin. Reads the token first, and
 * prints a failure with a hint on what to do next. */
EbExit EbAdmin_Call(EbInvocation *invocation, const char *method,
                    const char *path, const char *body, json_t **answer);

/* Returns a hint on what to do after a failure with this exit code and HTTP
 * status. */
const char *EbAdmin_FailureHint(EbExit code, int status);

/* Returns the array `name` of an answer, or the answer if it is an array
 * itself; NULL if there is neither. The reference is borrowed. */
json_t *EbAdmin_FindArray(json_t *answer, const char *name);

#endif
