#include "ebonyhollow/platform_adapter.h"

#include <glib.h>

void
EbServerRegistration_Clear(EbServerRegistration *entry)
{
    g_free(entry->id);
    g_free(entry->service);
    g_free(entry->host);
    g_free(entry->failure_domain);
    *entry = (EbServerRegistration){0};
}
