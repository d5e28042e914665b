/* Retained outcomes: lookup while they are retained, and the limits in time and bytes. */
#include <string.h>

#include "lwtest.h"
#include "meshoutcomes.h"

#define SECOND_US 1000000ull

static const lw_answer_t ok = { 200, 2, { "HTTP/1.1 200 OK\r\n", 17 } };

static void retain(lw_meshoutcomes_t *k, uint64_t id, uint64_t now_us)
{
	lw_stream_origin_t origin = { 9, id };

	lw_meshoutcomes_add_answer(k, &origin, &ok, LW_STR("hi"), now_us);
}

static void test_finds_retained(void)
{
	lw_meshoutcomes_t k = { 0 };
	lw_stream_origin_t refused = { 9, 4 };
	const lw_retained_outcome_t *o;

	retain(&k, 3, SECOND_US);
	lw_meshoutcomes_add_failure(&k, &refused, LW_FAIL_BUSY, 250, SECOND_US);
	o = lw_meshoutcomes_find(&k, 9, 3);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	if (!o)
		return;
	CU_ASSERT_EQUAL(o->why, LW_FAIL_NONE);
	CU_ASSERT_EQUAL(o->answer.status, 200);
	CU_ASSERT_TRUE(lw_str_eq_c(o->answer.head, "HTTP/1.1 200 OK\r\n"));
	CU_ASSERT_TRUE(lw_str_eq_c(o->body, "hi"));
	o = lw_meshoutcomes_find(&k, 9, 4);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	if (!o)
		return;
	CU_ASSERT_EQUAL(o->why, LW_FAIL_BUSY);
	CU_ASSERT_EQUAL(o->retry_after_ms, 250);
	CU_ASSERT_PTR_NULL(lw_meshoutcomes_find(&k, 8, 3));
	/* adding a later outcome drops those that are too old */
	retain(&k, 5, 10 * SECOND_US);
	CU_ASSERT_PTR_NULL(lw_meshoutcomes_find(&k, 9, 3));
	CU_ASSERT_PTR_NOT_NULL(lw_meshoutcomes_find(&k, 9, 5));
}

static void test_bounded(void)
{
	static char big[20000];
	lw_meshoutcomes_t k = { 0 };
	lw_stream_origin_t origin = { 9, 1 }, unnamed = { 0, 2 };

	lw_meshoutcomes_add_answer(&k, &origin, &ok, (lw_str_t){ big, sizeof(big) }, SECOND_US);
	lw_meshoutcomes_add_answer(&k, &unnamed, &ok, LW_STR("hi"), SECOND_US);
	CU_ASSERT_PTR_NULL(k.oldest);
	for (uint64_t id = 0; id < 300; id++) {
		origin.id = id;
		lw_meshoutcomes_add_answer(&k, &origin, &ok, (lw_str_t){ big, 10000 }, SECOND_US);
	}
	CU_ASSERT_TRUE(k.bytes <= 1024 * 1024);
	CU_ASSERT_PTR_NULL(lw_meshoutcomes_find(&k, 9, 0));
	CU_ASSERT_PTR_NOT_NULL(lw_meshoutcomes_find(&k, 9, 299));
}

/* suite_meshoutcomes() - registers the tests of this file. */
void suite_meshoutcomes(void)
{
	CU_pSuite s = CU_add_suite("meshoutcomes", NULL, NULL);

	CU_add_test(s, "an outcome is found while it is retained", test_finds_retained);
	CU_add_test(s, "time and bytes of retained outcomes are bounded", test_bounded);
}
