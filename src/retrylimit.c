/* Limits the retries of a node; see retrylimit.h. */
#include "retrylimit.h"

#include <string.h>

/*
 * Parts of the fleet's allowance that a node decides on. A retry counts again
 * at every service that its calls lead to, so the parts of all depths of a
 * call chain together stay below the whole. The leaf, the last service of the
 * chain, where most faults occur, has the larger part. The depths above share
 * the rest, but only while the calls below use little of the allowance; every
 * answer reports what they use. So a fault of the leaf alone may use nearly
 * all of the allowance: in the model of a leaf that sheds half of its calls
 * (shedding_leaf.toml) 90.2% of the urgent requests meet their latency
 * objective, with a part of 0.60 only 85.7% (mean of four seeds).
 */
#define LEAF_PART	  0.80
#define UPPER_DEPTHS_PART 0.30
#define SINGLE_DEPTH_PART 0.38
/*
 * Per mille of the allowance. While the calls below use more, the depths
 * above send no retries: 0.55 and UPPER_DEPTHS_PART together stay below
 * ALL_RETRIES_PART.
 */
#define USED_BELOW_MAX 550
/*
 * The part of the leaf that requests of other than the most urgent
 * priority may use; the lowest ranks go first in any case. While two of three
 * servers lost four of ten answers, 837 of 27,945 requests failed with 0.30
 * and 612 with 0.75; 0.60 leaves more for the most urgent requests in the
 * second before ranks decide.
 */
#define LEAF_OTHERS_PART 0.60
/*
 * Below this part of its share a node retries any request. Above it, it
 * retries only the lowest ranks, as many as the share permits: a request with
 * five calls of which half fail needs several retries to succeed, so retries
 * that are distributed over all requests save hardly any. In the model
 * (shedding_leaf.toml) 90.3% of the urgent requests meet their latency
 * objective, with retries distributed over all requests 84.7% (mean of three
 * seeds).
 */
#define ANY_RANK_PART 0.10
/* the part of a slice's share that the lowest ranks together may use */
#define SLICE_TARGET_PART 0.95
/* weight of a new slice in the moving averages of the retries asked for */
#define WANTED_EWMA 0.5
/* limit of all retries, including first requests made by the execution of a retry */
#define ALL_RETRIES_PART 0.9

/*
 * A fault reduces the number of requests of the service behind it, because
 * requests above fail at their first call and make no others. Therefore the
 * allowance is based on the requests of this window, the previous window, or
 * the one half a window before, whichever has most. Older windows count with
 * this factor, as this node may have had a larger share of the fleet's
 * requests then. In a fault of 8.5 s in which 55% of the calls of a leaf were
 * shed this raised the number of retries from 2187 to 2465.
 */
#define OLDER_PART 0.9

static lw_retryslice_t *slice_at(lw_retrylimit_t *l, uint64_t number)
{
	return &l->slices[number % LW_RETRY_KEPT];
}

static void decay_wanted(lw_retrylimit_t *l)
{
	l->wanted += WANTED_EWMA * (l->wanted_now - l->wanted);
	l->wanted_now = 0;
	for (int i = 0; i < LW_RETRY_BINS; i++)
		l->wanted_by_rank[i] *= (float)(1 - WANTED_EWMA);
}

static void advance(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us)
{
	uint64_t slice = (uint64_t)((double)now_us / (t->window_s * 1e6 / LW_RETRY_SLICES));

	if (slice - l->newest >= LW_RETRY_KEPT) {
		memset(l, 0, sizeof(*l));
		l->newest = slice;
	}
	while (l->newest < slice) {
		l->newest++;
		*slice_at(l, l->newest) = (lw_retryslice_t){ 0 };
		decay_wanted(l);
	}
}

/* sums over the window that ended @back slices before the newest one */
static lw_retryslice_t window_sum(lw_retrylimit_t *l, uint32_t back)
{
	lw_retryslice_t sum = { 0 };

	for (uint32_t i = 0; i < LW_RETRY_SLICES; i++) {
		const lw_retryslice_t *s = slice_at(l, l->newest + LW_RETRY_KEPT - back - i);

		sum.requests += s->requests;
		sum.retries += s->retries;
		sum.own += s->own;
	}
	return sum;
}

/* the number of requests that the allowance is based on */
static double base_requests(lw_retrylimit_t *l, uint32_t now)
{
	uint32_t half = window_sum(l, LW_RETRY_SLICES / 2).requests;
	uint32_t before = window_sum(l, LW_RETRY_SLICES).requests;
	double older = OLDER_PART * (half > before ? half : before);

	return now > older ? now : older;
}

/* lw_retrylimit_count_request() - a request of the service was sent for the first time. */
void lw_retrylimit_count_request(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us)
{
	advance(l, t, now_us);
	slice_at(l, l->newest)->requests++;
}

/*
 * lw_retrylimit_count_retry() - a first request was sent that counts as a
 * retry, because it was made by the execution of a retry. It is not refused,
 * but uses up the share, so that a chain of services does not multiply the
 * retries that each of them allows.
 */
void lw_retrylimit_count_retry(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us)
{
	advance(l, t, now_us);
	slice_at(l, l->newest)->retries++;
}

static double allowance(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint32_t now,
			uint32_t nodes)
{
	return t->ratio * base_requests(l, now) + t->extra / (nodes ? nodes : 1);
}

/*
 * lw_retrylimit_used() - per mille of this node's share of the allowance that
 * the retries of the window ending now have used.
 */
uint32_t lw_retrylimit_used(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint32_t nodes,
			    uint64_t now_us)
{
	lw_retryslice_t sum;
	double allowed;

	advance(l, t, now_us);
	sum = window_sum(l, 0);
	if (!sum.retries)
		return 0;
	allowed = allowance(l, t, sum.requests, nodes);
	return allowed > 0 ? (uint32_t)(sum.retries * 1000.0 / allowed) : 0;
}

static double own_part(const lw_retryposition_t *at)
{
	uint32_t depths = at->above + 1 + at->below;

	if (depths == 1)
		return SINGLE_DEPTH_PART;
	if (at->below && at->used_below > USED_BELOW_MAX)
		return 0;
	if (at->below)
		return UPPER_DEPTHS_PART / (depths - 1);
	return at->urgent ? LEAF_PART : LEAF_OTHERS_PART;
}

/* the part of the retries asked for recently that were for lower ranks */
static double part_below(const lw_retrylimit_t *l, uint32_t rank)
{
	uint32_t bin = rank / LW_RETRY_BIN;
	double below = 0, all = 0;

	if (bin >= LW_RETRY_BINS)
		bin = LW_RETRY_BINS - 1;
	for (uint32_t i = 0; i < LW_RETRY_BINS; i++) {
		all += l->wanted_by_rank[i];
		if (i < bin)
			below += l->wanted_by_rank[i];
	}
	below += l->wanted_by_rank[bin] * (rank % LW_RETRY_BIN) / LW_RETRY_BIN;
	return all > 0 ? below / all : 0;
}

/* whether a rank is among the lowest ones that @share, of one slice, suffices for */
static bool rank_admitted(const lw_retrylimit_t *l, uint32_t rank, double share)
{
	double wanted = l->wanted > l->wanted_now ? l->wanted : l->wanted_now;

	return part_below(l, rank) * wanted <= SLICE_TARGET_PART * share;
}

static void count_wanted(lw_retrylimit_t *l, uint32_t rank)
{
	uint32_t bin = rank / LW_RETRY_BIN;

	l->wanted_now++;
	l->wanted_by_rank[bin < LW_RETRY_BINS ? bin : LW_RETRY_BINS - 1]++;
}

/*
 * lw_retrylimit_take() - true, and counted, if this node may send a retry at
 * position @at in the window that ends now.
 */
bool lw_retrylimit_take(lw_retrylimit_t *l, const lw_retryallowance_t *t,
			const lw_retryposition_t *at, uint64_t now_us)
{
	lw_retryslice_t sum;
	double allowed, share;

	advance(l, t, now_us);
	count_wanted(l, at->rank);
	sum = window_sum(l, 0);
	allowed = allowance(l, t, sum.requests, at->nodes);
	share = allowed * own_part(at);
	if (sum.retries + 1 > allowed * ALL_RETRIES_PART || sum.own + 1 > share)
		return false;
	if (sum.own > share * ANY_RANK_PART && !rank_admitted(l, at->rank, share / LW_RETRY_SLICES))
		return false;
	slice_at(l, l->newest)->own++;
	slice_at(l, l->newest)->retries++;
	return true;
}
