/*
 * The limit of one organisation as a token bucket that all nodes draw on, and the
 * demand for it. It may run into debt, as what nodes let in is told some tenths of a second
 * later. No I/O; the time is given.
 */
#ifndef LW_QUOTABUCKET_H
#define LW_QUOTABUCKET_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "quota.h"

/* Steps of a keeper of which the demand is remembered. */
#define LW_BUCKET_HISTORY 7

/* one organisation at all nodes */
typedef struct lw_bucket {
	uint64_t org;
	double rate_per_s;
	double burst;
	double tokens; /* requests that may be let in at once; below 0: a debt */
	uint64_t tokens_us;
	double demand_fast; /* demand, per second */
	double demand_slow;
	double shared; /* by which nodes know their parts */
	double past[LW_BUCKET_HISTORY]; /* the same at the last steps of the keeper */
	uint64_t demand_us;
	double reserved; /* part of the limit, for nodes that are not heard of */
	double available; /* part of it for those that are */
	bool configured; /* the configuration has it */
	uint32_t permille; /* of its requests to let in, as last worked out */
	UT_hash_handle hh;
} lw_bucket_t;

void lw_bucket_advance(lw_bucket_t *b, const lw_quota_tolerance_t *t, uint64_t now_us);
double lw_bucket_demand_rate(uint32_t asked, double memory_s, double covered_s);
void lw_bucket_add_demand(lw_bucket_t *b, uint32_t asked, double covered_s);
uint32_t lw_bucket_permille(const lw_bucket_t *b, const lw_quota_tolerance_t *t);

#endif
