#include "ebonyhollow/platform_adapter.h"

#include <glib.h>

void
EbServerRegistration_Clear(EbServerRegistration *registration)
{
    g_free(registration->id);
    g_free(registration->service);
    g_free(registration->host);
    g_free(registration->failure_domain);
    *registration = (EbServerRegistration){0};
}
