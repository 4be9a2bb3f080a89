#include "ebonyhollow/histogram.h"

#include <math.h>

#define BUCKETS_PER_DOUBLING 4

/* Bucket b holds values up to 2^((b + 1) / 4). */
static size_t
find_bucket(int64_t value)
{
    if (value <= 1) {
        return 0;
    }
    double position = log2((double)value) * BUCKETS_PER_DOUBLING;
    size_t bucket = (size_t)ceil(position) - 1;
    if (bucket >= EB_HISTOGRAM_BUCKETS) {
        return EB_HISTOGRAM_BUCKETS - 1;
    }
    /* Bounds are rounded down to integers, so the logarithm may give a bucket
     * that is one too low. */
    if (value > EbHistogram_Bound(bucket)) {
        bucket++;
    }
    return bucket;
}

void
EbHistogram_Add(EbHistogram *histogram, int64_t value)
{
    histogram->buckets[find_bucket(value)]++;
    histogram->count++;
    histogram->sum += value > 0 ? (uint64_t)value : 0;
}

void
EbHistogram_Merge(EbHistogram *histogram, const EbHistogram *other)
{
    histogram->count += other->count;
    histogram->sum += other->sum;
    for (size_t i = 0; i < EB_HISTOGRAM_BUCKETS; i++) {
        histogram->buckets[i] += other->buckets[i];
    }
}

int64_t
EbHistogram_Quantile(const EbHistogram *histogram, uint32_t permille)
{
    if (histogram->count == 0) {
        return 0;
    }
    uint64_t rank = (histogram->count * permille + 999) / 1000;
    uint64_t seen = 0;
    for (size_t i = 0; i < EB_HISTOGRAM_BUCKETS; i++) {
        seen += histogram->buckets[i];
        if (seen >= rank && seen > 0) {
            return EbHistogram_Bound(i);
        }
    }
    return EbHistogram_Bound(EB_HISTOGRAM_BUCKETS - 1);
}

int64_t
EbHistogram_Bound(size_t bucket)
{
    if (bucket + 1 >= EB_HISTOGRAM_BUCKETS) {
        return INT64_MAX;
    }
    return (int64_t)exp2((double)(bucket + 1) / BUCKETS_PER_DOUBLING);
}
