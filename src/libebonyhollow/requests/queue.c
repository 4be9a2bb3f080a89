#include "ebonyhollow/queue.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/class_share.h"
#include "heap.h"

#define DEFAULT_MAX_ENTRIES 4096
/* Name of the only flow when the order ignores customers. */
#define SHARED_FLOW ""

/* One waiting entry. It is in the heap of its flow and in the heap of expiries
 * or, once it has expired, in the list of expired entries. */
typedef struct {
    EbQueueEntry entry;
    struct Flow *flow;
    uint64_t arrival;
    int64_t latest_start_us;
    uint32_t flow_position;
    uint32_t expiry_position;
    GList expired_link;
    char customer[];
} WaitingEntry;

/* A customer's entries. A flow without entries is kept while its finish tag is
 * ahead of the virtual time. Otherwise a customer could have its past service
 * forgotten by letting its queue run empty for a moment. */
typedef struct Flow {
    struct UrgencyClass *class;
    char *name;
    EbHeap entries;
    double start;       /* virtual start tag of its next entry */
    double finish;      /* virtual finish tag of its last served entry */
    uint64_t tie_break; /* order among flows with equal start tags */
    uint32_t position;
} Flow;

/* The customers that wait with entries of one urgency. */
typedef struct UrgencyClass {
    uint64_t next_tie_break;
    double virtual_time;
    GHashTable *flows; /* name to Flow */
    EbHeap active;     /* flows with entries, by start tag */
    EbHeap idle;       /* flows without entries, by finish tag */
} UrgencyClass;

typedef struct {
    const char *(*flow_name)(const EbQueueEntry *entry);
    const EbHeapClass *entries;
    bool by_urgency;
} Order;

struct EbQueue {
    const Order *order;
    uint32_t max_entries;
    uint32_t count;
    uint64_t next_arrival;
    UrgencyClass classes[EB_CLASS_SHARE_CLASSES];
    EbClassShare share;
    EbHeap expiries;   /* all entries not yet expired, by latest start */
    GHashTable *by_id; /* id to WaitingEntry */
    GQueue expired;
    WaitingEntry *last_result; /* keeps the last result's customer valid */
};

static bool
earlier_deadline(const void *left, const void *right)
{
    const WaitingEntry *a = left, *b = right;
    if (a->entry.deadline_us != b->entry.deadline_us) {
        return a->entry.deadline_us < b->entry.deadline_us;
    }
    return a->arrival < b->arrival;
}

static bool
earlier_arrival(const void *left, const void *right)
{
    const WaitingEntry *a = left, *b = right;
    return a->arrival < b->arrival;
}

static void
set_flow_position(void *item, uint32_t position)
{
    ((WaitingEntry *)item)->flow_position = position;
}

static bool
earlier_expiry(const void *left, const void *right)
{
    const WaitingEntry *a = left, *b = right;
    return a->latest_start_us < b->latest_start_us;
}

static void
set_expiry_position(void *item, uint32_t position)
{
    ((WaitingEntry *)item)->expiry_position = position;
}

static bool
earlier_start(const void *left, const void *right)
{
    const Flow *a = left, *b = right;
    if (a->start != b->start) {
        return a->start < b->start;
    }
    return a->tie_break < b->tie_break;
}

static bool
earlier_finish(const void *left, const void *right)
{
    const Flow *a = left, *b = right;
    return a->finish < b->finish;
}

static void
set_position(void *item, uint32_t position)
{
    ((Flow *)item)->position = position;
}

static const EbHeapClass by_deadline = {earlier_deadline, set_flow_position};
static const EbHeapClass by_arrival = {earlier_arrival, set_flow_position};
static const EbHeapClass by_expiry = {earlier_expiry, set_expiry_position};
static const EbHeapClass by_start = {earlier_start, set_position};
static const EbHeapClass by_finish = {earlier_finish, set_position};

static const char *
flow_of_customer(const EbQueueEntry *entry)
{
    return entry->customer;
}

static const char *
flow_of_all(const EbQueueEntry *entry)
{
    (void)entry;
    return SHARED_FLOW;
}

static const Order orders[EB_QUEUE_ORDER_COUNT] = {
    [EB_QUEUE_WEIGHTED_FAIR] = {flow_of_customer, &by_deadline, true},
    [EB_QUEUE_FIRST_COME] = {flow_of_all, &by_arrival, false},
};

static void
free_flow(gpointer pointer)
{
    Flow *flow = pointer;
    EbHeap_Clear(&flow->entries);
    g_free(flow->name);
    g_free(flow);
}

EbQueue *
EbQueue_New(const EbQueueOptions *options)
{
    assert(options->order < EB_QUEUE_ORDER_COUNT);
    EbQueue *queue = g_new0(EbQueue, 1);
    queue->order = &orders[options->order];
    queue->max_entries =
        options->max_entries != 0 ? options->max_entries : DEFAULT_MAX_ENTRIES;
    queue->share.least_permille = options->least_class_permille;
    for (uint32_t i = 0; i < EB_CLASS_SHARE_CLASSES; i++) {
        UrgencyClass *class = &queue->classes[i];
        class->flows =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_flow);
        EbHeap_Init(&class->active, &by_start);
        EbHeap_Init(&class->idle, &by_finish);
    }
    queue->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    EbHeap_Init(&queue->expiries, &by_expiry);
    g_queue_init(&queue->expired);
    return queue;
}

void
EbQueue_Free(EbQueue *queue)
{
    if (queue == NULL) {
        return;
    }
    GHashTableIter iterator;
    gpointer waiting;
    g_hash_table_iter_init(&iterator, queue->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &waiting)) {
        g_free(waiting);
    }
    g_free(queue->last_result);
    g_hash_table_destroy(queue->by_id);
    for (uint32_t i = 0; i < EB_CLASS_SHARE_CLASSES; i++) {
        UrgencyClass *class = &queue->classes[i];
        g_hash_table_destroy(class->flows);
        EbHeap_Clear(&class->active);
        EbHeap_Clear(&class->idle);
    }
    EbHeap_Clear(&queue->expiries);
    g_free(queue);
}

static UrgencyClass *
class_of(EbQueue *queue, const EbQueueEntry *entry)
{
    uint32_t urgency = queue->order->by_urgency ? entry->urgency : 0;
    return &queue->classes[MIN(urgency, EB_CLASS_SHARE_CLASSES - 1)];
}

static Flow *
get_flow(EbQueue *queue, UrgencyClass *class, const char *name)
{
    Flow *flow = g_hash_table_lookup(class->flows, name);
    if (flow == NULL) {
        flow = g_new0(Flow, 1);
        flow->class = class;
        flow->name = g_strdup(name);
        flow->position = EB_HEAP_NONE;
        EbHeap_Init(&flow->entries, queue->order->entries);
        g_hash_table_insert(class->flows, flow->name, flow);
    }
    else if (flow->entries.count == 0) {
        EbHeap_RemoveAt(&class->idle, flow->position);
    }
    return flow;
}

/* Puts a flow that has entries into the order of service. */
static void
schedule_flow(Flow *flow)
{
    UrgencyClass *class = flow->class;
    flow->start = MAX(class->virtual_time, flow->finish);
    flow->tie_break = class->next_tie_break++;
    EbHeap_Insert(&class->active, flow);
}

/* Frees idle flows whose past service would no longer delay them. */
static void
remove_idle_flows(UrgencyClass *class)
{
    Flow *flow;
    while ((flow = EbHeap_First(&class->idle)) != NULL &&
           flow->finish <= class->virtual_time) {
        EbHeap_RemoveAt(&class->idle, 0);
        g_hash_table_remove(class->flows, flow->name);
    }
}

/* Ends a busy period: tags start from zero again, which also bounds the
 * rounding error of the virtual time. */
static void
end_busy_period(UrgencyClass *class)
{
    while (class->idle.count > 0) {
        Flow *flow = EbHeap_RemoveAt(&class->idle, class->idle.count - 1);
        g_hash_table_remove(class->flows, flow->name);
    }
    class->virtual_time = 0;
}

/* Removes an entry from its flow and from the heap of expiries. */
static void
unlink_entry(EbQueue *queue, WaitingEntry *waiting)
{
    Flow *flow = waiting->flow;
    UrgencyClass *class = flow->class;
    EbHeap_RemoveAt(&flow->entries, waiting->flow_position);
    EbHeap_RemoveAt(&queue->expiries, waiting->expiry_position);
    waiting->flow = NULL;
    if (flow->entries.count == 0) {
        EbHeap_RemoveAt(&class->active, flow->position);
        EbHeap_Insert(&class->idle, flow);
    }
    if (class->active.count == 0) {
        end_busy_period(class);
    }
    else {
        remove_idle_flows(class);
    }
}

bool
EbQueue_Push(EbQueue *queue, const EbQueueEntry *entry, int64_t now_us)
{
    assert(entry->customer != NULL && entry->weight > 0 && entry->cost > 0);
    assert(!g_hash_table_contains(queue->by_id, &entry->id));
    if (queue->count >= queue->max_entries) {
        return false;
    }
    size_t name_bytes = strlen(entry->customer) + 1;
    WaitingEntry *waiting = g_malloc0(sizeof(WaitingEntry) + name_bytes);
    waiting->entry = *entry;
    memcpy(waiting->customer, entry->customer, name_bytes);
    waiting->entry.customer = waiting->customer;
    waiting->entry.queued_us = now_us;
    waiting->latest_start_us = entry->deadline_us - entry->needed_us;
    waiting->arrival = queue->next_arrival++;
    waiting->expired_link.data = waiting;
    Flow *flow = get_flow(queue, class_of(queue, entry),
                          queue->order->flow_name(entry));
    waiting->flow = flow;
    EbHeap_Insert(&flow->entries, waiting);
    if (flow->entries.count == 1) {
        schedule_flow(flow);
    }
    EbHeap_Insert(&queue->expiries, waiting);
    g_hash_table_insert(queue->by_id, &waiting->entry.id, waiting);
    queue->count++;
    return true;
}

/* Moves entries that can no longer finish in time to the expired list. */
static void
expire(EbQueue *queue, int64_t now_us)
{
    WaitingEntry *waiting;
    while ((waiting = EbHeap_First(&queue->expiries)) != NULL &&
           waiting->latest_start_us < now_us) {
        unlink_entry(queue, waiting);
        g_queue_push_tail_link(&queue->expired, &waiting->expired_link);
    }
}

/* Copies an entry that is in no heap any more to the caller, and keeps it
 * until the next call because the caller borrows its customer string. */
static void
return_entry(EbQueue *queue, WaitingEntry *waiting, EbQueueEntry *entry)
{
    g_hash_table_remove(queue->by_id, &waiting->entry.id);
    queue->count--;
    g_free(queue->last_result);
    queue->last_result = waiting;
    *entry = waiting->entry;
}

/* Returns the class to serve next, or NULL when nothing waits. */
static UrgencyClass *
next_class(EbQueue *queue)
{
    uint32_t waiting = 0;
    for (uint32_t i = 0; i < EB_CLASS_SHARE_CLASSES; i++) {
        waiting |= (uint32_t)(queue->classes[i].active.count > 0) << i;
    }
    return waiting != 0
               ? &queue->classes[EbClassShare_Next(&queue->share, waiting)]
               : NULL;
}

bool
EbQueue_Pop(EbQueue *queue, int64_t now_us, EbQueueEntry *entry)
{
    expire(queue, now_us);
    UrgencyClass *class = next_class(queue);
    if (class == NULL) {
        return false;
    }
    Flow *flow = EbHeap_First(&class->active);
    WaitingEntry *waiting = EbHeap_First(&flow->entries);
    class->virtual_time = flow->start;
    flow->finish = flow->start +
                   (double)waiting->entry.cost / (double)waiting->entry.weight;
    if (flow->entries.count > 1) {
        EbHeap_RemoveAt(&class->active, flow->position);
        schedule_flow(flow);
    }
    unlink_entry(queue, waiting);
    return_entry(queue, waiting, entry);
    return true;
}

bool
EbQueue_PopExpired(EbQueue *queue, int64_t now_us, EbQueueEntry *entry)
{
    expire(queue, now_us);
    GList *link = g_queue_pop_head_link(&queue->expired);
    if (link == NULL) {
        return false;
    }
    WaitingEntry *waiting = link->data;
    return_entry(queue, waiting, entry);
    return true;
}

bool
EbQueue_Remove(EbQueue *queue, uint64_t id)
{
    WaitingEntry *waiting = g_hash_table_lookup(queue->by_id, &id);
    if (waiting == NULL) {
        return false;
    }
    if (waiting->flow != NULL) {
        unlink_entry(queue, waiting);
    }
    else {
        g_queue_unlink(&queue->expired, &waiting->expired_link);
    }
    g_hash_table_remove(queue->by_id, &id);
    queue->count--;
    g_free(waiting);
    return true;
}

size_t
EbQueue_Count(const EbQueue *queue)
{
    return queue->count;
}

int64_t
EbQueue_NextExpiry(const EbQueue *queue)
{
    const WaitingEntry *waiting = g_queue_peek_head((GQueue *)&queue->expired);
    if (waiting == NULL) {
        waiting = EbHeap_First(&queue->expiries);
    }
    if (waiting == NULL || waiting->latest_start_us == INT64_MAX) {
        return INT64_MAX;
    }
    return waiting->latest_start_us + 1;
}
