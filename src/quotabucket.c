/* Token buckets of organisations; see quotabucket.h. */
#include "quotabucket.h"

#include <math.h>

/*
 * Fraction of the overage that is used deliberately, so that no request below a limit is
 * refused.
 */
#define OVERAGE_FRACTION 0.25
/* the same for the slack: within a window, and as a burst */
#define SLACK_FRACTION	     0.3
#define SLACK_BURST_FRACTION 0.2
/* time constants of the fast and the slow average of the demand, s */
#define FAST_S 0.3
#define SLOW_S 1.5
/* time in which the balance of a bucket is used up or its debt repaid, s */
#define SETTLE_S 1.0

/* refill rate of the bucket in requests per second, slightly above the limit */
static double refill_rate(const lw_bucket_t *b, const lw_quota_tolerance_t *t)
{
	double rate = b->rate_per_s * (1 + OVERAGE_FRACTION * t->overage) +
		      SLACK_FRACTION * t->slack / t->window_s;

	return rate * b->available;
}

static double max_tokens(const lw_bucket_t *b, const lw_quota_tolerance_t *t)
{
	return (b->burst * (1 + OVERAGE_FRACTION * t->overage) + SLACK_BURST_FRACTION * t->slack) *
	       b->available;
}

/* lw_bucket_advance() - refill the bucket and decay the averages of demand until @now_us. */
void lw_bucket_advance(lw_bucket_t *b, const lw_quota_tolerance_t *t, uint64_t now_us)
{
	double refill_s = (double)(now_us - b->tokens_us) / 1e6;
	double dt = (double)(now_us - b->demand_us) / 1e6;

	b->tokens += refill_rate(b, t) * refill_s;
	if (b->tokens > max_tokens(b, t))
		b->tokens = max_tokens(b, t);
	b->tokens_us = now_us;
	b->demand_fast *= exp(-dt / FAST_S);
	b->demand_slow *= exp(-dt / SLOW_S);
	b->shared *= exp(-dt / LW_QUOTA_DEMAND_MEMORY_S);
	b->demand_us = now_us;
}

/*
 * lw_bucket_demand_rate() - contribution of a report of @asked requests to an average with
 * the time constant @memory_s, per second; the report covers @covered_s. A partitioned
 * node reports the requests of the whole partition at once, which is not a surge.
 */
double lw_bucket_demand_rate(uint32_t asked, double memory_s, double covered_s)
{
	return asked / (covered_s > memory_s ? covered_s : memory_s);
}

/*
 * lw_bucket_add_demand() - add the requests that a node received in the last @covered_s:
 * @asked, for which it checked the limit, and @shed, which it refused before.
 */
void lw_bucket_add_demand(lw_bucket_t *b, uint32_t asked, uint32_t shed, double covered_s)
{
	b->demand_fast += lw_bucket_demand_rate(asked, FAST_S, covered_s);
	b->demand_slow += lw_bucket_demand_rate(asked, SLOW_S, covered_s);
	b->shared += lw_bucket_demand_rate(asked + shed, LW_QUOTA_DEMAND_MEMORY_S, covered_s);
}

/* lw_bucket_permille() - the fraction of the current demand that the bucket sustains. */
uint32_t lw_bucket_permille(const lw_bucket_t *b, const lw_quota_tolerance_t *t)
{
	double sustainable_rate = refill_rate(b, t) + b->tokens / SETTLE_S;
	double demand = b->demand_fast > b->demand_slow ? b->demand_fast : b->demand_slow;

	if (demand <= sustainable_rate)
		return 1000;
	return sustainable_rate > 0 ? (uint32_t)(1000 * sustainable_rate / demand) : 0;
}
