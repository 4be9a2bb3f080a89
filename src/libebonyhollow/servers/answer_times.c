#include "ebonyhollow/answer_times.h"

#include <assert.h>
#include <math.h>

#define REFERENCE_GAIN 0.02 /* an average of about 50 answers */
#define MIN_REFERENCE 10
/* Smaller differences between times are jitter. */
#define MIN_DEVIATION_LOG 0.25
#define SLOW_FACTOR 3.0
#define MIN_FAILURE_SHARE 0.02
#define SLOW_FAILURE_SHARE 0.5
/* Log of the odds that decide: one wrong verdict in 20. */
#define DECISION 2.94
/* No single call decides. */
#define MAX_EVIDENCE (DECISION / 2)
#define UNCOMPARED_ANSWERS 8

void
EbAnswerReference_AddAnswer(EbAnswerReference *reference, double time)
{
    assert(time > 0);
    reference->samples++;
    double gain = fmax(REFERENCE_GAIN, 1.0 / reference->samples);
    double difference = log(time) - reference->mean_log;
    reference->mean_log += gain * difference;
    reference->variance_log = (1 - gain) * (reference->variance_log +
                                            gain * difference * difference);
    reference->failure_share -= REFERENCE_GAIN * reference->failure_share;
}

void
EbAnswerReference_AddFailure(EbAnswerReference *reference)
{
    reference->failure_share +=
        REFERENCE_GAIN * (1 - reference->failure_share);
}

static EbAnswerVerdict
add_evidence(EbAnswerTest *test, double evidence)
{
    test->evidence += fmax(-MAX_EVIDENCE, fmin(evidence, MAX_EVIDENCE));
    if (fabs(test->evidence) < DECISION) {
        return EB_ANSWERS_UNDECIDED;
    }
    EbAnswerVerdict verdict =
        test->evidence > 0 ? EB_ANSWERS_SLOW : EB_ANSWERS_USUAL;
    test->evidence = 0;
    return verdict;
}

/* Returns the log of the ratio of two likelihoods: that a server which is
 * slower by SLOW_FACTOR answers in this time, and that one like the others
 * does. Both are lognormal with the deviation of the reference. */
static double
time_evidence(const EbAnswerReference *reference, double time)
{
    double shift = log(SLOW_FACTOR);
    double variance =
        fmax(reference->variance_log, MIN_DEVIATION_LOG * MIN_DEVIATION_LOG);
    double difference = log(time) - reference->mean_log;
    return shift * (difference - shift / 2) / variance;
}

EbAnswerVerdict
EbAnswerTest_AddAnswer(EbAnswerTest *test, const EbAnswerReference *reference,
                       double time)
{
    assert(time > 0);
    return add_evidence(test, reference->samples < MIN_REFERENCE
                                  ? -DECISION / UNCOMPARED_ANSWERS
                                  : time_evidence(reference, time));
}

EbAnswerVerdict
EbAnswerTest_AddGivenUp(EbAnswerTest *test, const EbAnswerReference *reference,
                        double time)
{
    assert(time > 0);
    return add_evidence(test, reference->samples < MIN_REFERENCE
                                  ? 0
                                  : fmax(time_evidence(reference, time), 0));
}

EbAnswerVerdict
EbAnswerTest_AddFailure(EbAnswerTest *test, const EbAnswerReference *reference)
{
    double usual = fmax(reference->failure_share, MIN_FAILURE_SHARE);
    return add_evidence(test, fmax(log(SLOW_FAILURE_SHARE / usual), 0));
}
