/* Connections that are over: what is known of their requests, and what is forgotten. */
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
	/* one that never came, whatever its id */
	CU_ASSERT_FALSE(lw_meshclosed_has(&past, 8));
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&past, 8, 0, 2 * SECOND_US));
}

/*
 * An order ran twice: the connection that brought it was over and forgotten, and
 * the host said that it had never received it.
 */
static void test_forgotten_may_have_run(void)
{
	memset(&past, 0, sizeof(past));
	for (uint64_t name = 1; name <= LW_MESHCLOSED_MAX + 1; name++)
		lw_meshclosed_add(&past, name, 1, name);
	CU_ASSERT_FALSE(lw_meshclosed_has(&past, 1));
	CU_ASSERT_FALSE(lw_meshclosed_never_received(&past, 1, 5, 2 * SECOND_US));
	/* what is remembered is still told apart */
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&past, 2, 5, 2 * SECOND_US));
	/* nobody waits any more for what was over so long ago */
	CU_ASSERT_TRUE(lw_meshclosed_never_received(&past, 1, 5, 120 * SECOND_US));
}

static void test_no_name_is_no_connection(void)
{
	memset(&past, 0, sizeof(past));
	lw_meshclosed_add(&past, 0, 3, SECOND_US);
	CU_ASSERT_FALSE(lw_meshclosed_has(&past, 0));
	CU_ASSERT_EQUAL(past.count, 0);
}

/* suite_meshpast() - register the tests of this file. */
void suite_meshclosed(void)
{
	CU_pSuite s = CU_add_suite("meshpast", NULL, NULL);

	CU_add_test(s, "what a connection brought is known after its end", test_knows_what_came);
	CU_add_test(s, "what was forgotten may have run", test_forgotten_may_have_run);
	CU_add_test(s, "a connection without a name is not noted", test_no_name_is_no_connection);
}
