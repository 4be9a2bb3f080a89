/* EbAnswerTimes: whether a server answers like the others of its pool.
 *
 * Times of answers differ by chance, e.g. with the length of prompts, so a
 * single one says little. The logarithms of the times of the other servers
 * are the reference. A server's answers are compared by a sequential
 * probability ratio test (Wald 1945): of a server that answers like the
 * others, and of one that takes three times as long. How many answers it
 * takes follows from how much the times of the others differ.
 *
 * A time may be in any unit, also relative to what a call should take, if it
 * is the same for all servers of a pool. Zeroed structs know nothing. */
#ifndef EBONYHOLLOW_ANSWER_TIMES_H
#define EBONYHOLLOW_ANSWER_TIMES_H

#include <stdint.h>

/* The answers of the servers of a pool. */
typedef struct {
    double mean_log;
    double variance_log;
    double failure_share;
    uint32_t samples;
} EbAnswerReference;

/* The answers of one server so far. */
typedef struct {
    double evidence; /* log of the likelihood ratio; positive: it is slow */
} EbAnswerTest;

typedef enum {
    EB_ANSWERS_UNDECIDED,
    EB_ANSWERS_USUAL,
    EB_ANSWERS_SLOW /* or failed too often */
} EbAnswerVerdict;

/* Adds an answer of a server that answers like the others.
 *
 * time: greater than 0 */
void EbAnswerReference_AddAnswer(EbAnswerReference *reference, double time);
void EbAnswerReference_AddFailure(EbAnswerReference *reference);

/* Each of these adds a call of the server under test and returns what its
 * calls show. After a verdict the test begins again. Without a reference,
 * several answers count as usual. */

EbAnswerVerdict EbAnswerTest_AddAnswer(EbAnswerTest *test,
                                       const EbAnswerReference *reference,
                                       double time);
/* Adds a call that was given up after `time`, and would have taken longer. */
EbAnswerVerdict EbAnswerTest_AddGivenUp(EbAnswerTest *test,
                                        const EbAnswerReference *reference,
                                        double time);
EbAnswerVerdict EbAnswerTest_AddFailure(EbAnswerTest *test,
                                        const EbAnswerReference *reference);

#endif
