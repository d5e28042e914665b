/* Closed connections: what is known of their requests, and what is not known after eviction. */
#include <string.h>

#include "lwtest.h"
#include "meshclosed.h"

#define SECOND_US 1000000ull

static lw_meshclosed_t past;

static void test_knows_what_came(void)
{
	memset(&past, 0, sizeof(past));
	lw_meshclosed_add(&past, 7, 3, SECOND_US);
	CU_ASSERT_TRUE(lw_meshclosed_has(&past, 7));
	CU_ASSERT_FALSE(lw_meshclosed_never_received(&past, 7, 2, 2 * SECOND_US));
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&past, 7, 3, 2 * SECOND_US));
	/* a connection that never reached this process, whatever the stream id */
	CU_ASSERT_FALSE(lw_meshclosed_has(&past, 8));
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&past, 8, 0, 2 * SECOND_US));
}

/*
 * Guards against an order that is executed twice: the connection that carried it was closed
 * and evicted, and the host reported the request as never received.
 */
static void test_forgotten_may_have_run(void)
{
	memset(&past, 0, sizeof(past));
	for (uint64_t name = 1; name <= LW_MESHCLOSED_MAX + 1; name++)
		lw_meshclosed_add(&past, name, 1, name);
	CU_ASSERT_FALSE(lw_meshclosed_has(&past, 1));
	CU_ASSERT_FALSE(lw_meshclosed_never_received(&past, 1, 5, 2 * SECOND_US));
	/* connections that are not evicted are still distinguished */
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&past, 2, 5, 2 * SECOND_US));
	/* no sender still waits for a request of a connection closed that long ago */
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&past, 1, 5, 120 * SECOND_US));
}

static void test_no_name_is_no_connection(void)
{
	memset(&past, 0, sizeof(past));
	lw_meshclosed_add(&past, 0, 3, SECOND_US);
	CU_ASSERT_FALSE(lw_meshclosed_has(&past, 0));
	CU_ASSERT_EQUAL(past.count, 0);
}

/* suite_meshclosed() - registers the tests of this file. */
void suite_meshclosed(void)
{
	CU_pSuite s = CU_add_suite("meshclosed", NULL, NULL);

	CU_add_test(s, "requests of a closed connection are known", test_knows_what_came);
	CU_add_test(s, "a request of an evicted connection may have been executed",
		    test_forgotten_may_have_run);
	CU_add_test(s, "a connection without a name is not recorded",
		    test_no_name_is_no_connection);
}
