/*
 * The limit of one organisation as a token bucket shared by all nodes, and the demand for
 * it. The balance may become negative, as nodes report what they admitted some tenths of a
 * second later. No I/O; the caller passes the time.
 */
#ifndef LW_QUOTABUCKET_H
#define LW_QUOTABUCKET_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "quota.h"

/* Number of steps of a coordinator for which the demand is stored. */
#define LW_BUCKET_HISTORY 7

/* one organisation at all nodes */
typedef struct lw_bucket {
	uint64_t org;
	double rate_per_s;
	double burst;
	double tokens; /* requests that may be admitted at once; below 0: a debt */
	uint64_t tokens_us;
	double demand_fast; /* averages of the demand, per second */
	double demand_slow;
	double shared; /* average of all requests, from which nodes compute their shares */
	double share_history
		[LW_BUCKET_HISTORY]; /* this average at the last steps of the coordinator */
	uint64_t demand_us;
	double reserved; /* share of the limit reserved for silent nodes */
	double available; /* share of the limit available to reporting nodes */
	bool configured; /* present in the configuration */
	uint32_t permille; /* fraction of its requests to admit, as last computed */
	UT_hash_handle hh;
} lw_bucket_t;

void lw_bucket_advance(lw_bucket_t *b, const lw_quota_tolerance_t *t, uint64_t now_us);
double lw_bucket_demand_rate(uint32_t asked, double memory_s, double covered_s);
void lw_bucket_add_demand(lw_bucket_t *b, uint32_t asked, uint32_t shed, double covered_s);
uint32_t lw_bucket_permille(const lw_bucket_t *b, const lw_quota_tolerance_t *t);

#endif
