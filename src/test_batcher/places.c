/* Tests of the failure domain in which work is done. */
#include <stdlib.h>
#include <string.h>

#include "ebonyhollow/placement.h"
#include "fixture.h"
#include "test_runner.h"

/* Guards against work that moves many bytes and is done in another failure
 * domain although a server of its own would still do it in time, and against
 * such work that waits until it is late or while all servers are needed. */
void
test_local_work(void)
{
    static const struct {
        uint64_t transfer_bytes;
        int64_t due_in_us;
        const char *domain;
        uint32_t items;
        unsigned sent; /* while the server of "recife" is busy */
    } rows[] = {
        {2900000, SECOND_US, "recife", 1, 0},
        {2900000, SECOND_US, "natal", 1, 1},
        {2900000, SECOND_US, NULL, 1, 1},
        {50000, SECOND_US, "recife", 1, 1},
        {2900000, 300000, "recife", 1, 1},
        {2900000, SECOND_US, "recife", 2 * MAX_ITEMS / 4, 0},
        {2900000, SECOND_US, "recife", 2 * MAX_ITEMS / 4 + 1, 1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture, 2, 0);
        g_free(fixture.config->servers[1].failure_domain);
        fixture.config->servers[1].failure_domain = g_strdup("natal");
        EbBatcher_SetConfig(fixture.batcher, fixture.config, fixture.now_us);
        EbPreparationJob first = {.job = 1,
                                  .request_id = "r-1",
                                  .service = SERVICE,
                                  .item_count = 1,
                                  .transfer_bytes = 2900000,
                                  .failure_domain = "recife",
                                  .key = "key",
                                  .due_us = fixture.now_us + SECOND_US,
                                  .deadline_us =
                                      fixture.now_us + 6 * SECOND_US};
        EbBatcher_AddJob(fixture.batcher, "i-1", &first, fixture.now_us);
        CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 1);
        CU_ASSERT_EQUAL(g_strcmp0(fixture.call.as.batch.server_id, "s-0"), 0);
        EbPreparationJob second = first;
        second.job = 2;
        second.request_id = "r-2";
        second.item_count = rows[i].items;
        second.transfer_bytes = rows[i].transfer_bytes;
        second.failure_domain = (char *)rows[i].domain;
        second.due_us = fixture.now_us + rows[i].due_in_us;
        EbBatcher_AddJob(fixture.batcher, "i-1", &second, fixture.now_us);
        unsigned sent = Fixture_ProcessActions(&fixture);
        CU_ASSERT_EQUAL(sent, rows[i].sent);
        if (rows[i].sent > 0) {
            CU_ASSERT_EQUAL(g_strcmp0(fixture.call.as.batch.server_id, "s-1"),
                            0);
        }
        else {
            Fixture_AnswerCall(&fixture, EB_WORK_ITEM_DONE);
            CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 1);
            CU_ASSERT_EQUAL(g_strcmp0(fixture.call.as.batch.server_id, "s-0"),
                            0);
        }
        Fixture_Close(&fixture);
    }
}

/* Reads a handle "PORT/NUMBER" of a server of Fixture_MakeConfig. */
static bool
read_handle(const char *handle, char **host, uint16_t *port)
{
    *host = g_strdup("10.0.0.1");
    *port = (uint16_t)strtoul(handle, NULL, 10);
    return strchr(handle, '/') != NULL;
}

/* Guards against work that is done far from most of its inputs. */
void
test_input_domain(void)
{
    static const struct {
        const char *inputs[4];
        const char *domain;
    } rows[] = {
        {{NULL}, NULL},
        {{"7000/1"}, "recife"},
        {{"7001/1", "7000/1", "7001/2"}, "natal"},
        {{"7000/1", "7001/1"}, "recife"},
        {{"7009/1", "7009/2", "7001/2"}, "natal"},
        {{"unreadable", "7009/1"}, NULL},
    };
    EbConfig *config = Fixture_MakeConfig(2, 0);
    g_free(config->servers[1].failure_domain);
    config->servers[1].failure_domain = g_strdup("natal");
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        GPtrArray *inputs = g_ptr_array_new();
        for (size_t k = 0; k < 4 && rows[i].inputs[k] != NULL; k++) {
            g_ptr_array_add(inputs, (gpointer)rows[i].inputs[k]);
        }
        const char *domain =
            EbPlacement_FindInputDomain(config, read_handle, inputs);
        CU_ASSERT_EQUAL(g_strcmp0(domain, rows[i].domain), 0);
        g_ptr_array_unref(inputs);
    }
    CU_ASSERT_PTR_NULL(EbPlacement_FindInputDomain(config, read_handle, NULL));
    EbConfig_Unref(config);
}

/* A sixth of the large site (agreste-capas-large): its stages' servers, and
 * classes with the goals, deadlines and result sizes of that site. While 115
 * questions a second come, the second stage has to make 768 results a second;
 * its servers make 810 in full calls. */
