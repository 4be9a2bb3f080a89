/* EbHistogram: counts of values in fixed logarithmic buckets.
 *
 * Bucket bounds are the same everywhere, so that histograms of several
 * daemons merge by addition. Four buckets a doubling bound the error of a
 * quantile to 19% of its value. */
#ifndef EBONYHOLLOW_HISTOGRAM_H
#define EBONYHOLLOW_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#define EB_HISTOGRAM_BUCKETS 120 /* 1 us to about 18 minutes */

typedef struct {
    uint64_t count;
    uint64_t sum;
    uint32_t buckets[EB_HISTOGRAM_BUCKETS];
} EbHistogram;

/* Adds a value; negative values count as 0. */
void EbHistogram_Add(EbHistogram *histogram, int64_t value);

/* Adds the counts of another histogram. */
void EbHistogram_Merge(EbHistogram *histogram, const EbHistogram *other);

/* Returns the upper bound of the bucket that holds the quantile, or 0 when
 * empty. permille: 0 to 1000. */
int64_t EbHistogram_Quantile(const EbHistogram *histogram, uint32_t permille);

/* Upper bound of a bucket; INT64_MAX for the last. */
int64_t EbHistogram_Bound(size_t bucket);

#endif
