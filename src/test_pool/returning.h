/* A server of a pool that comes back under load. */
#ifndef EB_TEST_POOL_RETURNING_H
#define EB_TEST_POOL_RETURNING_H

void test_returning_server(void);

#endif
