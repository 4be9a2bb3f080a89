#include "ebonyhollow/restored_config.h"

bool
EbRestoredConfig_RecordStored(EbRestoredConfig *config, uint64_t version,
                              const EbStorePosition *position, int64_t now_us)
{
    if (version < config->version) {
        config->announced = config->version;
        return false;
    }
    if (version == config->version) {
        return false;
    }
    if (config->version == 0 && position->era > EB_RESTORED_CONFIG_FIRST_ERA) {
        config->wait_until_us = now_us + EB_RESTORED_CONFIG_WAIT_US;
    }
    config->version = version;
    return true;
}

bool
EbRestoredConfig_RecordTold(EbRestoredConfig *config, uint64_t version)
{
    if (version <= config->version) {
        return false;
    }
    config->version = version;
    config->announced = version;
    config->wait_until_us = 0;
    return true;
}

bool
EbRestoredConfig_MustWait(const EbRestoredConfig *config, int64_t now_us)
{
    return now_us < config->wait_until_us;
}

int64_t
EbRestoredConfig_NextTimer(const EbRestoredConfig *config, int64_t now_us)
{
    return EbRestoredConfig_MustWait(config, now_us) ? config->wait_until_us
                                                     : INT64_MAX;
}
