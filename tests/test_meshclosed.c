/* Closed connections: what is known of their requests, and what is not known after eviction. */
#include <string.h>

#include "lwtest.h"
#include "meshclosed.h"

#define SECOND_US 1000000ull

static lw_meshclosed_t closed;

static void test_requests_of_closed_connection(void)
{
	memset(&closed, 0, sizeof(closed));
	lw_meshclosed_add(&closed, 7, 3, SECOND_US);
	CU_ASSERT_TRUE(lw_meshclosed_has(&closed, 7));
	CU_ASSERT_FALSE(lw_meshclosed_never_received(&closed, 7, 2, 2 * SECOND_US));
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&closed, 7, 3, 2 * SECOND_US));
	/* a connection that never reached this process, whatever the stream id */
	CU_ASSERT_FALSE(lw_meshclosed_has(&closed, 8));
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&closed, 8, 0, 2 * SECOND_US));
}

/*
 * Guards against an order that is executed twice: the connection that carried it was closed
 * and evicted, and the host reported the request as never received.
 */
static void test_evicted_may_have_been_executed(void)
{
	memset(&closed, 0, sizeof(closed));
	for (uint64_t name = 1; name <= LW_MESHCLOSED_MAX + 1; name++)
		lw_meshclosed_add(&closed, name, 1, name);
	CU_ASSERT_FALSE(lw_meshclosed_has(&closed, 1));
	CU_ASSERT_FALSE(lw_meshclosed_never_received(&closed, 1, 5, 2 * SECOND_US));
	/* connections that were not evicted are still known */
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&closed, 2, 5, 2 * SECOND_US));
	/* no sender still waits for a request of a connection closed that long ago */
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&closed, 1, 5, 120 * SECOND_US));
}

static void test_unnamed_connection_not_recorded(void)
{
	memset(&closed, 0, sizeof(closed));
	lw_meshclosed_add(&closed, 0, 3, SECOND_US);
	CU_ASSERT_FALSE(lw_meshclosed_has(&closed, 0));
	CU_ASSERT_EQUAL(closed.count, 0);
}

/* suite_meshclosed() - registers the tests of this file. */
void suite_meshclosed(void)
{
	CU_pSuite s = CU_add_suite("meshclosed", NULL, NULL);

	CU_add_test(s, "requests of a closed connection are known",
		    test_requests_of_closed_connection);
	CU_add_test(s, "a request of an evicted connection may have been executed",
		    test_evicted_may_have_been_executed);
	CU_add_test(s, "a connection without a name is not recorded",
		    test_unnamed_connection_not_recorded);
}
