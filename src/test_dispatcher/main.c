/* Tests of the dispatcher without faults and with single ones; combinations
 * are in test_fault_matrix. */
#include <stdio.h>
#include <string.h>

#include "test_runner.h"
#include "world.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SECOND_US 1000000
#define END_US (60LL * SECOND_US)

static void
finish(World *world)
{
    World_Run(world, world->now_us + END_US);
    World_CheckEnd(world);
    if (world->failed) {
        printf("%s\n%s", world->failure, world->trace->str);
    }
    CU_ASSERT_FALSE(world->failed);
}

/* Guards against a stage whose result does not reach the next one. */
static void
test_normal_path(void)
{
    static const char *const pipelines[] = {"ask", "full", "pay"};
    for (size_t i = 0; i < TABLE_COUNT(pipelines); i++) {
        World *world = World_New(&(WorldOptions){.seed = i});
        WorldRequest *request = World_Submit(
            world, &(WorldSubmit){.pipeline = pipelines[i],
                                  .key = i == 2 ? "k" : NULL,
                                  .input = "sleeve",
                                  .stream = i == 1});
        finish(world);
        CU_ASSERT_EQUAL(request->outcome, EB_OUTCOME_DONE);
        CU_ASSERT_EQUAL(request->relayed, i == 1 ? WORLD_TOKENS : 0);
        CU_ASSERT_STRING_EQUAL(World_ClaimState(world, "k"),
                               i == 2 ? "done" : "absent");
        World_Free(world);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"normal path", test_normal_path},
    };
    return EbTest_Run("test_dispatcher", cases, TABLE_COUNT(cases));
}
