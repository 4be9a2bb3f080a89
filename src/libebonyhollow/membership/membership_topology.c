#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "membership_private.h"

/* Time to establish the first link to a new neighbour before it is suspected.
 */
#define FIRST_LINK_GRACE_US 5000000

static int
compare_ring(gconstpointer left, gconstpointer right)
{
    const EbMember *first = *(const EbMember *const *)left;
    const EbMember *second = *(const EbMember *const *)right;
    if (first->ring_position != second->ring_position) {
        return first->ring_position < second->ring_position ? -1 : 1;
    }
    return strcmp(first->name, second->name);
}

/* Collects the members that are not dead, in ring order. */
static GPtrArray *
collect_ring(const EbMembership *membership)
{
    GPtrArray *ring = g_ptr_array_new();
    for (guint i = 0; i < membership->members->len; i++) {
        EbMember *member = membership->members->pdata[i];
        if (member->visible != EB_MEMBER_DEAD) {
            g_ptr_array_add(ring, member);
        }
    }
    g_ptr_array_sort(ring, compare_ring);
    return ring;
}

static void
mark_mesh(const EbMembership *membership, const GPtrArray *ring)
{
    const EbMember *self = membership->self;
    for (guint i = 0; i < ring->len; i++) {
        EbMember *member = ring->pdata[i];
        if (member != self) {
            member->neighbour = true;
            member->outbound = strcmp(self->name, member->name) < 0;
        }
    }
}

static void
mark_ring(const EbMembership *membership, const GPtrArray *ring)
{
    guint own = 0;
    while (ring->pdata[own] != membership->self) {
        own++;
    }
    for (guint distance = 1; distance < ring->len; distance *= 2) {
        EbMember *before =
            ring->pdata[(own + ring->len - distance) % ring->len];
        before->neighbour = true;
    }
    for (guint distance = 1; distance < ring->len; distance *= 2) {
        EbMember *after = ring->pdata[(own + distance) % ring->len];
        after->neighbour = true;
        after->outbound = true;
    }
}

static void
collect_live(EbMembership *membership)
{
    g_ptr_array_set_size(membership->live, 0);
    for (guint i = 0; i < membership->members->len; i++) {
        EbMember *member = membership->members->pdata[i];
        if (member->visible < EB_MEMBER_LEAVING) {
            g_ptr_array_add(membership->live, member->name);
        }
    }
}

void
EbMembership_UpdateTopology(EbMembership *membership, int64_t now_us)
{
    if (!membership->topology_stale) {
        return;
    }
    membership->topology_stale = false;
    for (guint i = 0; i < membership->members->len; i++) {
        EbMember *member = membership->members->pdata[i];
        member->neighbour = false;
        member->outbound = false;
    }
    GPtrArray *ring = collect_ring(membership);
    membership->ring_count = ring->len;
    if (ring->len <= EB_MEMBERSHIP_MESH_MAX) {
        mark_mesh(membership, ring);
    }
    else {
        mark_ring(membership, ring);
    }
    g_ptr_array_free(ring, TRUE);
    for (guint i = 0; i < membership->members->len; i++) {
        EbMember *member = membership->members->pdata[i];
        if (!member->neighbour || member->link.up) {
            member->suspect_due_us = INT64_MAX;
        }
        else if (member->suspect_due_us == INT64_MAX) {
            member->suspect_due_us = now_us + FIRST_LINK_GRACE_US;
        }
    }
    collect_live(membership);
}

size_t
EbMembership_LiveInstances(const EbMembership *membership, const char **names,
                           size_t max)
{
    size_t count = MIN(max, membership->live->len);
    for (size_t i = 0; i < count; i++) {
        names[i] = membership->live->pdata[i];
    }
    return membership->live->len;
}

bool
EbMembership_IsWatcher(const EbMembership *membership)
{
    const EbMember *self = membership->self;
    if (membership->ring_count <= EB_MEMBERSHIP_MESH_MAX) {
        return true;
    }
    uint32_t before = 0;
    for (guint i = 0; i < membership->members->len; i++) {
        EbMember *member = membership->members->pdata[i];
        if (member != self && member->visible < EB_MEMBER_LEAVING &&
            strcmp(member->failure_domain, self->failure_domain) == 0 &&
            compare_ring(&member, &self) < 0) {
            before++;
        }
    }
    return before < EB_WATCHERS_PER_FAILURE_DOMAIN;
}

static int
compare_domains(gconstpointer left, gconstpointer right)
{
    const EbMember *first = *(const EbMember *const *)left;
    const EbMember *second = *(const EbMember *const *)right;
    int order = strcmp(first->failure_domain, second->failure_domain);
    return order != 0 ? order : compare_ring(left, right);
}

/* Collects the live daemons that watch: in a full mesh all, otherwise the
 * first EB_WATCHERS_PER_FAILURE_DOMAIN of each failure domain. */
static GPtrArray *
collect_watchers(const EbMembership *membership)
{
    GPtrArray *live = g_ptr_array_new();
    for (guint i = 0; i < membership->members->len; i++) {
        EbMember *member = membership->members->pdata[i];
        if (member->visible < EB_MEMBER_LEAVING) {
            g_ptr_array_add(live, member);
        }
    }
    if (membership->ring_count <= EB_MEMBERSHIP_MESH_MAX) {
        return live;
    }
    g_ptr_array_sort(live, compare_domains);
    GPtrArray *watchers = g_ptr_array_new();
    const char *domain = "";
    uint32_t of_domain = 0;
    for (guint i = 0; i < live->len; i++) {
        EbMember *member = live->pdata[i];
        bool same = i > 0 && strcmp(member->failure_domain, domain) == 0;
        domain = member->failure_domain;
        of_domain = same ? of_domain + 1 : 0;
        if (of_domain < EB_WATCHERS_PER_FAILURE_DOMAIN) {
            g_ptr_array_add(watchers, member);
        }
    }
    g_ptr_array_free(live, TRUE);
    return watchers;
}

typedef struct {
    const char *name;
    bool other_domain;
    uint64_t rank; /* differs between the daemons that ask */
} Watcher;

static int
compare_watchers(gconstpointer left, gconstpointer right)
{
    const Watcher *first = left;
    const Watcher *second = right;
    if (first->other_domain != second->other_domain) {
        return first->other_domain ? 1 : -1;
    }
    return first->rank < second->rank ? -1 : first->rank > second->rank;
}

static Watcher
describe_watcher(const EbMember *self, const EbMember *member)
{
    char *pair = g_strdup_printf("%s/%s", self->name, member->name);
    Watcher watcher = {
        .name = member->name,
        .other_domain =
            strcmp(member->failure_domain, self->failure_domain) != 0,
        .rank = XXH3_64bits(pair, strlen(pair)),
    };
    g_free(pair);
    return watcher;
}

size_t
EbMembership_ListWatchers(const EbMembership *membership, const char **names,
                          size_t max)
{
    GPtrArray *members = collect_watchers(membership);
    GArray *watchers = g_array_new(FALSE, FALSE, sizeof(Watcher));
    for (guint i = 0; i < members->len; i++) {
        if (members->pdata[i] != membership->self) {
            Watcher watcher =
                describe_watcher(membership->self, members->pdata[i]);
            g_array_append_val(watchers, watcher);
        }
    }
    g_array_sort(watchers, compare_watchers);
    size_t count = MIN(max, watchers->len);
    for (size_t i = 0; i < count; i++) {
        names[i] = g_array_index(watchers, Watcher, i).name;
    }
    g_array_free(watchers, TRUE);
    g_ptr_array_free(members, TRUE);
    return count;
}
