/*
 * Arithmetic at the ends of its ranges: the conversion of a number that does not fit into an
 * integer is undefined, and processors differ in its result.
 */
#include <stdio.h>
#include <string.h>

#include "handback.h"
#include "lwtest.h"
#include "organisation.h"
#include "proxyset.h"
#include "quota.h"
#include "retrylimit.h"
#include "status.h"

/* one more than the largest number of 32 bits: its low 32 bits are all zero */
#define TWO_POW_32 4294967296.0
#define NOW_US	   100000000

/* Guards against a very low rate limit that is promised to a queued request as a short time. */
static void test_low_rate_limit(void)
{
	lw_handback_t h = { 0 };

	for (int i = 0; i < 1000; i++)
		lw_handback_done(&h);
	CU_ASSERT_EQUAL(lw_handback_usual_us(&h, 4, 1000, 1000000), 1000000);
	CU_ASSERT_EQUAL(lw_handback_usual_us(&h, 4, 1000, TWO_POW_32 + 5), UINT32_MAX);
	CU_ASSERT_EQUAL(lw_handback_usual_us(&h, 4, 1000, 1e30), UINT32_MAX);
}

/* Guards against a retry allowance that counts as unused because its use is out of range. */
static void test_retries_far_above_the_allowance(void)
{
	const lw_retryallowance_t small = { 0, 1000 / TWO_POW_32, 10 };
	const lw_retryallowance_t usual = { 0.2, 125, 10 };
	const lw_arrivals_t many = { .retries = 1u << 29 };
	lw_retrylimit_t l = { 0 };

	lw_retrylimit_count_retry(&l, &small, NOW_US);
	CU_ASSERT_EQUAL(lw_retrylimit_used(&l, &small, 1, NOW_US), UINT32_MAX);
	CU_ASSERT_EQUAL(lw_arrivals_used(&many, &usual, 1), UINT32_MAX);
}

/* Guards against a very high rate limit that admits hardly any request of its organisation. */
static void test_high_rate_limit(void)
{
	const lw_quota_tolerance_t terms = { .window_s = 5, .overage = 0.25, .slack = 20 };
	lw_quota_t *q = lw_quota_new(&terms, 1);
	lw_orgs_t *orgs = lw_orgs_new();
	lw_organisation_t *org = lw_orgs_add(orgs, lw_str_c("org"));
	uint32_t admitted = 0;

	org->rate_per_s = TWO_POW_32;
	for (uint64_t i = 0; i < 1000; i++) {
		lw_quota_decision_t v;

		lw_quota_admit(q, org, NOW_US + i * 1000, &v);
		admitted += v.admitted;
	}
	CU_ASSERT_EQUAL(admitted, 1000);
	lw_orgs_free(orgs);
	lw_quota_free(q);
}

static lw_status_t parse_terms(const char *key, const char *value)
{
	lw_proxy_settings_t s;
	char text[512];

	snprintf(text, sizeof(text),
		 "[host]\nip=\"10.0.0.1\"\nzone=\"a\"\nservice=\"s\"\nbackend=\"10.0.0.1:80\"\n"
		 "[listen]\ncallers=\"10.0.0.1:81\"\nready=\"10.0.0.1:82\"\nmesh_port=7000\n"
		 "[store]\naddress=\"10.0.0.2:83\"\n[terms]\n%s=%s\n",
		 key, value);
	lw_proxy_settings_defaults(&s);
	return lw_proxy_settings_parse("test", text, strlen(text), &s);
}

/* Guards against settings that no time or number in use can be computed from. */
static void test_settings_out_of_range(void)
{
	static const char *const keys[] = { "heartbeat_s",    "drain_s",       "grace_s",
					    "retry_ratio",    "retry_extra",   "retry_window_s",
					    "quota_window_s", "quota_overage", "quota_slack" };
	static const char *const values[] = { "nan", "inf", "-inf", "1e300", "-1" };

	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		CU_ASSERT_EQUAL(parse_terms(keys[i], "2"), LW_OK);
		CU_ASSERT_EQUAL(parse_terms(keys[i], "1.5"), LW_OK);
		for (size_t k = 0; k < sizeof(values) / sizeof(values[0]); k++) {
			CU_ASSERT_EQUAL(parse_terms(keys[i], values[k]), LW_ERR_SETTINGS);
			CU_ASSERT_PTR_NOT_NULL(strstr(lw_error_last(), keys[i]));
		}
	}
	CU_ASSERT_EQUAL(parse_terms("retry_window_s", "1e-300"), LW_ERR_SETTINGS);
	CU_ASSERT_EQUAL(parse_terms("heartbeat_s", "1e-300"), LW_ERR_SETTINGS);
	CU_ASSERT_EQUAL(parse_terms("retry_extra", "0"), LW_OK);
}

static void add(CU_pSuite s, const char *name, CU_TestFunc test)
{
	if (!lw_test_known_red(name))
		CU_add_test(s, name, test);
}

/* suite_ranges() - registers the tests of this file. */
void suite_ranges(void)
{
	CU_pSuite s = CU_add_suite("ranges", NULL, NULL);

	add(s, "ranges_low_rate_limit", test_low_rate_limit);
	add(s, "ranges_retries_far_above_the_allowance", test_retries_far_above_the_allowance);
	add(s, "ranges_high_rate_limit", test_high_rate_limit);
	add(s, "ranges_settings_out_of_range", test_settings_out_of_range);
}
