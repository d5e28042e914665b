/*
 * Measures the cost of organisations at the size that is expected in two years: memory per
 * key, and the time of a key lookup, of a rate limit decision, of a usage report to the quota
 * coordinator and of loading a configuration. Prints lines "name value unit".
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "linux/clock.h"
#include "quotacoord.h"

#define ORGS	  10000
#define KEYS_EACH 10
#define ROUNDS	  2000000
#define REPORTS	  20000

static void key_of(char *out, size_t len, uint32_t i)
{
	snprintf(out, len, "%08x%06xk%05u", i * 2654435761u, i * 40503u & 0xffffff, i % 100000);
}

static lw_orgs_t *build(void)
{
	lw_orgs_t *o = lw_orgs_new();
	char text[32];

	for (uint32_t i = 0; i < ORGS * KEYS_EACH; i++) {
		if (i % KEYS_EACH == 0) {
			lw_organisation_t *org;

			snprintf(text, sizeof(text), "org-%u", i / KEYS_EACH);
			org = lw_orgs_add(o, lw_str_c(text));
			org->rate_per_s = 10;
			org->burst = 10;
		}
		key_of(text, sizeof(text), i);
		lw_orgs_add_key(o, lw_str_c(text));
	}
	if (lw_orgs_finish(o))
		exit(1);
	return o;
}

static void measure_lookup(const lw_orgs_t *o, lw_quota_t *q)
{
	static char keys[1024][32];
	uint64_t begin;
	uint32_t found = 0, let_in = 0;

	for (uint32_t i = 0; i < 1024; i++)
		key_of(keys[i], sizeof(keys[i]), i * 97 % (ORGS * KEYS_EACH));
	begin = lw_now_us();
	for (uint32_t i = 0; i < ROUNDS; i++)
		found += lw_orgs_by_key(o, lw_str_c(keys[i % 1024])) != NULL;
	printf("lookup_of_a_key %.3f us\n", (double)(lw_now_us() - begin) / ROUNDS);
	begin = lw_now_us();
	for (uint32_t i = 0; i < ROUNDS; i++) {
		lw_quota_decision_t v;

		lw_quota_admit(q, lw_orgs_by_key(o, lw_str_c(keys[i % 1024])), begin + i, &v);
		let_in += v.admitted;
	}
	printf("lookup_and_limit %.3f us\n", (double)(lw_now_us() - begin) / ROUNDS);
	if (found != ROUNDS || !let_in)
		exit(1);
}

static void measure_keeper(const lw_orgs_t *o)
{
	static lw_quota_grant_t terms[4096];
	lw_quota_tolerance_t t = { 5, 0.25, 20 };
	uint64_t now = 1000000, begin;
	lw_quotacoord_t *k = lw_quotacoord_new(&t, now);

	lw_quotacoord_set_nodes(k, 81);
	lw_quotacoord_set_limits(k, o, now);
	begin = lw_now_us();
	for (uint32_t i = 0; i < REPORTS / 10; i++) {
		lw_quota_usage_t uses[4];

		for (uint32_t j = 0; j < 4; j++)
			uses[j] = (lw_quota_usage_t){ lw_orgs_at(o, (i * 31 + j * 7) % ORGS)->id, 1,
						    1, 0 };
		now += 1000;
		lw_quotacoord_add_report(k, 1 + i % 81, uses, 4, now);
		lw_quotacoord_grants(k, uses, 4, terms, 4096, now);
	}
	printf("keeper_per_report_at_%u_organisations %.1f us\n", ORGS,
	       (double)(lw_now_us() - begin) / (REPORTS / 10));
	lw_quotacoord_free(k);
}

int main(void)
{
	size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
	uint64_t begin = lw_now_us();
	lw_orgs_t *o = build();
	lw_quota_tolerance_t t = { 5, 0.25, 20 };
	lw_quota_t *q = lw_quota_new(&t, 1);

	printf("configuration_of_%u_keys %.1f ms\n", ORGS * KEYS_EACH,
	       (double)(lw_now_us() - begin) / 1000);
	printf("memory_of_a_key %.1f bytes\n",
	       (double)(mallinfo2().uordblks + mallinfo2().hblkhd - before) / (ORGS * KEYS_EACH));
	measure_lookup(o, q);
	measure_keeper(o);
	lw_quota_free(q);
	lw_orgs_free(o);
	return 0;
}
