#include "ebonyhollow/server_speed.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* A piece interval that differs by more than this factor is an outlier: the
 * server shares its machine with others, which slow it for some hundred
 * milliseconds. */
#define OUTLIER_FACTOR 1.6
#define CONFIRMING_OUTLIERS                                                   \
    3                   /* in succession change the usual piece interval */
#define USUAL_GAIN 0.05 /* an average of about 20 streams */
#define CONFIRMED_GAIN 0.8
#define MERGE_GAIN 0.5
#define SLOWDOWN_HALF_LIFE_US 300000
#define WORK_LIFETIME_US 300000
/* A change of the usual piece interval by this factor is told to other
 * daemons, once several own streams show it, or at once when it is faster. */
#define NEWS_FACTOR 1.5
#define NEWS_STREAMS 3
/* A report counts as newer than the last news when it was measured this much
 * later: its age doesn't contain the time on its way, and so grows too slowly
 * while it is passed on. */
#define NEWS_AGE_TOLERANCE_US 1000000
#define COST_STEP 1.5
#define COST_MAX_STEPS 3

void
EbPieceIntervals_AddPiece(EbPieceIntervals *intervals, int64_t now_us)
{
    const uint32_t size = EB_SERVER_SPEED_SPAN_EVENTS + 1;
    intervals->event_us[intervals->event_count % size] = now_us;
    intervals->event_count++;
    if (intervals->event_count < size) {
        return;
    }
    int64_t span_us =
        now_us - intervals->event_us[intervals->event_count % size];
    intervals->span_us[intervals->span_count++ % EB_SERVER_SPEED_MAX_SPANS] =
        (uint32_t)CLAMP(span_us, 0, UINT32_MAX);
}

static int
compare_spans(const void *left, const void *right)
{
    uint32_t a = *(const uint32_t *)left, b = *(const uint32_t *)right;
    return (a > b) - (a < b);
}

double
EbPieceIntervals_Result(const EbPieceIntervals *intervals)
{
    uint32_t spans[EB_SERVER_SPEED_MAX_SPANS];
    uint32_t count = MIN(intervals->span_count, EB_SERVER_SPEED_MAX_SPANS);
    if (count == 0) {
        return 0;
    }
    memcpy(spans, intervals->span_us, count * sizeof(spans[0]));
    qsort(spans, count, sizeof(spans[0]), compare_spans);
    uint32_t quartile_us = spans[count / 4];
    return (double)quartile_us / EB_SERVER_SPEED_SPAN_EVENTS;
}

static bool
is_outlier(const EbServerSpeed *speed, double piece_interval_us)
{
    return piece_interval_us > OUTLIER_FACTOR * speed->piece_interval_us ||
           piece_interval_us < speed->piece_interval_us / OUTLIER_FACTOR;
}

void
EbServerSpeed_Observe(EbServerSpeed *speed, double piece_interval_us,
                      int64_t now_us)
{
    assert(piece_interval_us > 0);
    speed->untold_streams++;
    speed->own_us = now_us;
    if (speed->samples == 0) {
        speed->piece_interval_us = piece_interval_us;
        speed->samples = 1;
        return;
    }
    speed->slowdown = piece_interval_us / speed->piece_interval_us;
    speed->slowdown_us = now_us;
    bool outlier = is_outlier(speed, piece_interval_us);
    speed->outliers = outlier ? speed->outliers + 1 : 0;
    /* Neighbours only slow a server, so a faster piece interval counts at
     * once. */
    bool confirmed = piece_interval_us < speed->piece_interval_us ||
                     speed->outliers >= CONFIRMING_OUTLIERS;
    if (outlier && !confirmed) {
        return;
    }
    speed->samples++;
    double gain =
        outlier ? CONFIRMED_GAIN : fmax(USUAL_GAIN, 1.0 / speed->samples);
    speed->piece_interval_us +=
        gain * (piece_interval_us - speed->piece_interval_us);
}

/* Returns whether a measurement is newer than the last news. */
static bool
is_newer(const EbServerSpeed *speed, int64_t measured_us)
{
    return speed->told_interval_us <= 0 ||
           measured_us > speed->told_us + NEWS_AGE_TOLERANCE_US;
}

static bool
differs_from_news(const EbServerSpeed *speed, double piece_interval_us)
{
    return speed->told_interval_us <= 0 ||
           piece_interval_us > NEWS_FACTOR * speed->told_interval_us ||
           piece_interval_us < speed->told_interval_us / NEWS_FACTOR;
}

void
EbServerSpeed_Merge(EbServerSpeed *speed, const EbSpeedReport *report,
                    int64_t now_us)
{
    double piece_interval_us = report->piece_interval_us;
    assert(piece_interval_us > 0);
    int64_t age_us = (int64_t)report->ago_ms * 1000;
    if (age_us > EB_SPEED_REPORT_MAX_AGE_US ||
        !is_newer(speed, now_us - age_us)) {
        return;
    }
    if (differs_from_news(speed, piece_interval_us)) {
        speed->told_interval_us = piece_interval_us;
        speed->told_us = now_us - age_us;
        speed->relay_streams = MAX(report->streams, 1);
        speed->untold_streams = 0;
    }
    if (speed->samples == 0) {
        speed->piece_interval_us = piece_interval_us;
    }
    else if (piece_interval_us <= OUTLIER_FACTOR * speed->piece_interval_us ||
             report->streams >= NEWS_STREAMS) {
        double gain =
            is_outlier(speed, piece_interval_us) ? CONFIRMED_GAIN : MERGE_GAIN;
        speed->piece_interval_us +=
            gain * (piece_interval_us - speed->piece_interval_us);
    }
    speed->samples++;
}

void
EbServerSpeed_RecordWork(EbServerSpeed *speed, uint32_t percent,
                         int64_t now_us)
{
    assert(percent > 0);
    speed->work_percent = percent;
    speed->work_us = now_us;
}

/* Returns whether this daemon's own streams show what others don't know. */
static bool
has_own_news(const EbServerSpeed *speed, int64_t now_us)
{
    if (speed->untold_streams == 0 || !is_newer(speed, speed->own_us) ||
        now_us - speed->own_us > EB_SPEED_REPORT_MAX_AGE_US ||
        !differs_from_news(speed, speed->piece_interval_us)) {
        return false;
    }
    return speed->piece_interval_us < speed->told_interval_us ||
           speed->told_interval_us <= 0 ||
           speed->untold_streams >= NEWS_STREAMS;
}

bool
EbServerSpeed_TakeReport(EbServerSpeed *speed, EbSpeedReport *report,
                         int64_t now_us)
{
    if (has_own_news(speed, now_us)) {
        speed->told_interval_us = speed->piece_interval_us;
        speed->told_us = speed->own_us;
        report->streams = speed->untold_streams;
        speed->untold_streams = 0;
    }
    else {
        report->streams = speed->relay_streams;
    }
    speed->relay_streams = 0;
    int64_t age_us = MAX(now_us - speed->told_us, 0);
    if (report->streams == 0 || age_us > EB_SPEED_REPORT_MAX_AGE_US) {
        return false;
    }
    report->piece_interval_us = (uint32_t)fmax(speed->told_interval_us, 1);
    report->ago_ms = (uint32_t)(age_us / 1000);
    return true;
}

void
EbServerSpeed_UpdateCost(EbServerSpeed *speed, double typical_us)
{
    if (speed->samples == 0 || typical_us <= 0) {
        speed->cost_step = 0;
        return;
    }
    double steps = log(speed->piece_interval_us / typical_us) / log(COST_STEP);
    if (fabs(steps - speed->cost_step) >= 1) {
        speed->cost_step =
            (int32_t)fmax(-COST_MAX_STEPS, fmin(round(steps), COST_MAX_STEPS));
    }
}

double
EbServerSpeed_UsualCost(const EbServerSpeed *speed)
{
    return pow(COST_STEP, speed->cost_step);
}

double
EbServerSpeed_Slowdown(const EbServerSpeed *speed, int64_t now_us)
{
    if (speed->work_percent > 0 &&
        now_us - speed->work_us <= WORK_LIFETIME_US) {
        return speed->work_percent / 100.0;
    }
    if (speed->slowdown <= 0) {
        return 1;
    }
    double age = fmax((double)(now_us - speed->slowdown_us), 0);
    return pow(speed->slowdown, exp2(-age / SLOWDOWN_HALF_LIFE_US));
}
