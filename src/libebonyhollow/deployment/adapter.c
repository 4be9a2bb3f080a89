#include "ebonyhollow/adapter.h"

#include <glib.h>

void
EbServerEntry_Clear(EbServerEntry *entry)
{
    g_free(entry->id);
    g_free(entry->service);
    g_free(entry->host);
    g_free(entry->failure_domain);
    *entry = (EbServerEntry){0};
}
