#include "ebonyhollow/server_speed.h"

#include <assert.h>
#include <math.h>

#include <glib.h>

/* A pace that differs by more than this factor is an outlier: the server
 * shares its machine with others, which slow it for some hundred
 * milliseconds. */
#define OUTLIER_FACTOR 1.6
#define CONFIRMING_OUTLIERS 3 /* in succession change the usual pace */
#define USUAL_GAIN 0.05       /* an average of about 20 streams */
#define CONFIRMED_GAIN 0.8
#define MERGE_GAIN 0.5
#define SLOWDOWN_HALF_LIFE_US 300000
#define WORK_LIFETIME_US 300000
/* A change of the usual pace by this factor is told to other daemons, once
 * several own streams show it. */
#define NEWS_FACTOR 1.5
#define NEWS_STREAMS 3
#define COST_STEP 1.5
#define COST_MAX_STEPS 3

void
EbStreamPace_AddEvent(EbStreamPace *pace, int64_t now_us)
{
    const uint32_t size = EB_SERVER_SPEED_SPAN_EVENTS + 1;
    pace->event_us[pace->event_count % size] = now_us;
    pace->event_count++;
    if (pace->event_count < size) {
        return;
    }
    int64_t span_us = now_us - pace->event_us[pace->event_count % size];
    if (span_us > 0 && (pace->least_us == 0 || span_us < pace->least_us)) {
        pace->least_us = span_us;
    }
}

double
EbStreamPace_Result(const EbStreamPace *pace)
{
    return (double)pace->least_us / EB_SERVER_SPEED_SPAN_EVENTS;
}

static bool
is_outlier(const EbServerSpeed *speed, double pace_us)
{
    return pace_us > OUTLIER_FACTOR * speed->pace_us ||
           pace_us < speed->pace_us / OUTLIER_FACTOR;
}

void
EbServerSpeed_Observe(EbServerSpeed *speed, double pace_us, int64_t now_us)
{
    assert(pace_us > 0);
    speed->untold_streams++;
    if (speed->samples == 0) {
        speed->pace_us = pace_us;
        speed->samples = 1;
        return;
    }
    speed->slowdown = pace_us / speed->pace_us;
    speed->slowdown_us = now_us;
    bool outlier = is_outlier(speed, pace_us);
    speed->outliers = outlier ? speed->outliers + 1 : 0;
    /* Neighbours only slow a server, so a faster pace counts at once. */
    bool confirmed =
        pace_us < speed->pace_us || speed->outliers >= CONFIRMING_OUTLIERS;
    if (outlier && !confirmed) {
        return;
    }
    speed->samples++;
    double gain =
        outlier ? CONFIRMED_GAIN : fmax(USUAL_GAIN, 1.0 / speed->samples);
    speed->pace_us += gain * (pace_us - speed->pace_us);
}

void
EbServerSpeed_Merge(EbServerSpeed *speed, double pace_us)
{
    assert(pace_us > 0);
    speed->told_pace_us = pace_us;
    speed->untold_streams = 0;
    if (speed->samples == 0) {
        speed->pace_us = pace_us;
    }
    else {
        speed->pace_us += MERGE_GAIN * (pace_us - speed->pace_us);
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

bool
EbServerSpeed_TakeReport(EbServerSpeed *speed)
{
    if (speed->samples == 0) {
        return false;
    }
    if (speed->told_pace_us > 0) {
        double ratio = speed->pace_us / speed->told_pace_us;
        if ((ratio < NEWS_FACTOR && ratio > 1 / NEWS_FACTOR) ||
            speed->untold_streams < NEWS_STREAMS) {
            return false;
        }
    }
    speed->told_pace_us = speed->pace_us;
    speed->untold_streams = 0;
    return true;
}

double
EbServerSpeed_UsualCost(const EbServerSpeed *speed, double typical_us)
{
    if (speed->samples == 0 || typical_us <= 0) {
        return 1;
    }
    double steps = round(log(speed->pace_us / typical_us) / log(COST_STEP));
    return pow(COST_STEP, fmax(-COST_MAX_STEPS, fmin(steps, COST_MAX_STEPS)));
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
