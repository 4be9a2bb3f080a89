/* EbHistogram: counts of values in fixed logarithmic buckets.
 *
 * Bucket bounds are the same everywhere, so that histograms of several
 * daemons can be merged by addition. With four buckets per doubling, the error
 * of a quantile is at most 19% of its value. */
#ifndef EBONYHOLLOW_HISTOGRAM_H
#define EBONYHOLLOW_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#define EB_HISTOGRAM_BUCKETS 120 /* 1 us to about 18 minutes */

/* A histogram. All zeros is an empty one. */
typedef struct {
    uint64_t count; /* of all values */
    uint64_t sum;
    uint32_t buckets[EB_HISTOGRAM_BUCKETS];
} EbHistogram;

/* Adds a value. A negative value counts as 0. */
void EbHistogram_Add(EbHistogram *histogram, int64_t value);

/* Adds the counts of another histogram. */
void EbHistogram_Merge(EbHistogram *histogram, const EbHistogram *other);

/* Returns the upper bound of the bucket that contains a quantile, or 0 when
 * the histogram is empty.
 *
 * permille: the quantile, 0 to 1000. */
int64_t EbHistogram_Quantile(const EbHistogram *histogram, uint32_t permille);

/* Returns the upper bound, inclusive, of a bucket; INT64_MAX for the last. */
int64_t EbHistogram_Bound(size_t bucket);

#endif
